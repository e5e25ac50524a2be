#include "LibCore/result_code.h"
#include "LibPeer/host_link_client.h"
#include "LibPeer/host_link_server.h"

#include <catch2/catch.hpp>

using namespace spindle;

static host_link::AnnounceRequest announcement(std::uint32_t Protocol) {
  host_link::AnnounceRequest Request;
  Request.mutable_sender()->set_protocol(Protocol);
  Request.set_version(41);
  return Request;
}

TEST_CASE("a host answers another one, and refuses what it does not serve") {
  fiber_runtime Runtime(2);
  host_link_handlers Handlers;
  Handlers.Announce = [](const host_link::AnnounceRequest &Request) {
    host_link::AnnounceReply Reply;
    Reply.set_version(Request.version() + 1);
    return Reply;
  };
  Handlers.Repay =
      [](const host_link::RepayRequest &) -> host_link::RepayReply {
    throw spindle_error(result_code::NotOwner, "no such loan");
  };
  const host_link_server Server(Runtime, {"127.0.0.1", 0}, Handlers);
  const host_link_port Port = makeGrpcHostLink();
  const milliseconds Limit{5'000};
  Runtime.runBlocking([&] {
    const host_link::AnnounceReply Reply =
        Port.Announce(Server.address(), announcement(HostLinkProtocol), Limit);
    REQUIRE(Reply.version() == 42);
    REQUIRE_THROWS_WITH(
        Port.Announce(Server.address(), announcement(99), Limit),
        Catch::Contains("protocol 99"));
    host_link::RepayRequest Repay;
    Repay.mutable_sender()->set_protocol(HostLinkProtocol);
    REQUIRE_THROWS_WITH(Port.Repay(Server.address(), Repay, Limit),
                        Catch::Contains("no such loan"));
    host_link::BorrowRequest Borrow;
    Borrow.mutable_sender()->set_protocol(HostLinkProtocol);
    REQUIRE_THROWS_AS(Port.Borrow(Server.address(), Borrow, Limit),
                      spindle_error);
  });
}

TEST_CASE("a host that is not there is an error, not a wait") {
  fiber_runtime Runtime(1);
  const host_link_port Port = makeGrpcHostLink();
  Runtime.runBlocking([&] {
    REQUIRE_THROWS_AS(Port.Announce({"127.0.0.1", 1},
                                    announcement(HostLinkProtocol),
                                    milliseconds(500)),
                      spindle_error);
  });
}
