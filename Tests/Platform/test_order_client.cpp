#include "LibCore/result_code.h"
#include "LibHTTP/http_server.h"
#include "Support/raw_server.h"
#include "platform/order_client.h"

#include <catch2/catch.hpp>

using namespace spindle;

// The engine's connections carry requests of callers and orders in turn.
TEST_CASE("a late copy of a request's answer is taken for that of an order") {
  fiber_runtime Runtime{1};
  http_client Client;
  http_server Engine(
      Runtime, {"127.0.0.1", 0}, {},
      [](http_exchange &Exchange) {
        Exchange.respond({200, {{"X-Parsleyspindle-Request-Id", "r1"}}}, "");
        Exchange.respond({409, {}}, "");
      },
      writeErrorResponse);
  upstream_entry Entry;
  Entry.Name = "i-1";
  Entry.Address = Engine.address();
  const engine_order_port Port = makeOrderPort(Client);
  order_outcome Outcome = order_outcome::Unknown;
  Runtime.runBlocking([&] {
    Outcome = Port.Order(Entry, adapter_order(), milliseconds(2'000));
  });
  REQUIRE(Outcome == order_outcome::OrderCountMismatch);
}

// The engine may have accepted the order, so that it isn't known to be refused.
TEST_CASE("an order is taken for refused after an answer whose status is none "
          "of the protocol") {
  raw_server Engine([](const http_request_head &) {
    return raw_answer{"HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n"};
  });
  fiber_runtime Runtime{1};
  http_client Client;
  upstream_entry Entry;
  Entry.Name = "i-1";
  Entry.Address = Engine.address();
  const engine_order_port Port = makeOrderPort(Client);
  order_outcome Outcome = order_outcome::Refused;
  result_code ReportCode{};
  Runtime.runBlocking([&] {
    Outcome = Port.Order(Entry, adapter_order(), milliseconds(2'000));
    try {
      Port.Report(Entry, milliseconds(2'000));
    } catch (const spindle_error &Error) {
      ReportCode = Error.code();
    }
  });
  REQUIRE(Outcome == order_outcome::Unknown);
  REQUIRE(ReportCode == result_code::UpstreamLost);
}
