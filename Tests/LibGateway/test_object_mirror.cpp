#include "LibGateway/object_mirror.h"
#include "Support/fake_platform.h"

#include <catch2/catch.hpp>

using namespace spindle;

namespace {

constexpr std::string_view Kind = "things";

struct mirrored {
  mirrored() {
    Mirror.onChange([this] { ++Changes; });
  }

  std::string body(std::string_view Name) const {
    const std::optional<platform_object> Object = Mirror.find(Name);
    return Object ? Object->Body : "none";
  }

  fake_platform Fake;
  runtime_clock Clock;
  platform_port Platform = Fake.port();
  object_mirror Mirror{Clock, Platform, std::string(Kind), {}};
  int Changes = 0;
};

void relay(const object_mirror &From, object_mirror &To) {
  host_link::MirroredKind Message;
  From.describeSince(To.cursor(), Message);
  To.merge(Message);
}

} // namespace

TEST_CASE("a mirror lists once and then follows the changes") {
  mirrored Test;
  const std::uint64_t Version = Test.Platform.Create(Kind, "a", "1");
  Test.Mirror.step();
  REQUIRE(Test.body("a") == "1");
  Test.Platform.Update(Kind, "a", Version, "2");
  Test.Platform.Create(Kind, "b", "3");
  Test.Mirror.step();
  REQUIRE(Test.body("a") == "2");
  REQUIRE(Test.body("b") == "3");
  REQUIRE(Test.Changes == 2);
  Test.Mirror.step();
  REQUIRE(Test.Changes == 2);
}

TEST_CASE("a mirror whose history is gone lists anew") {
  mirrored Test;
  const std::uint64_t Version = Test.Platform.Create(Kind, "a", "1");
  Test.Mirror.step();
  Test.Platform.Remove(Kind, "a", Version);
  Test.Platform.Create(Kind, "b", "2");
  Test.Fake.setFaults({.ForgottenUpTo = 100});
  Test.Mirror.step();
  Test.Mirror.step();
  REQUIRE(Test.body("a") == "none");
  REQUIRE(Test.body("b") == "2");
}

TEST_CASE("a mirror keeps what it knows while the platform is down") {
  mirrored Test;
  Test.Platform.Create(Kind, "a", "1");
  Test.Mirror.step();
  Test.Fake.setFaults({.Down = true});
  REQUIRE(Test.Mirror.step() > milliseconds(0));
  REQUIRE_FALSE(Test.Mirror.reachable());
  REQUIRE(Test.body("a") == "1");
  Test.Fake.setFaults({});
  Test.Mirror.step();
  REQUIRE(Test.Mirror.reachable());
  REQUIRE(Test.Mirror.reachableSince() != time_point());
}

TEST_CASE("a peer's news reach a mirror that hears nothing, deletions too") {
  mirrored Test;
  const std::uint64_t Version = Test.Platform.Create(Kind, "a", "1");
  Test.Platform.Create(Kind, "b", "1");
  Test.Mirror.step();
  object_mirror Peer(Test.Clock, Test.Platform, std::string(Kind), {});
  Test.Platform.Remove(Kind, "a", Version);
  Test.Platform.Create(Kind, "c", "3");
  Peer.step();
  Test.Fake.setFaults({.Down = true});
  Test.Mirror.step();
  relay(Peer, Test.Mirror);
  REQUIRE(Test.body("a") == "none");
  REQUIRE(Test.body("b") == "1");
  REQUIRE(Test.body("c") == "3");
  REQUIRE(Test.Mirror.cursor() == Peer.cursor());
}

TEST_CASE("older news and late answers never take a mirror back") {
  mirrored Test;
  const std::uint64_t Version = Test.Platform.Create(Kind, "a", "1");
  object_mirror Late(Test.Clock, Test.Platform, std::string(Kind), {});
  Late.step();
  Test.Platform.Update(Kind, "a", Version, "2");
  Test.Mirror.step();
  relay(Late, Test.Mirror);
  REQUIRE(Test.body("a") == "2");
}

TEST_CASE("a mirror that is told by a peer looks seldom, and at once when the "
          "peer falls silent") {
  mirrored Test;
  Test.Clock.pause();
  bool IsRelayed = true;
  Test.Mirror.onAskRelayed([&] { return IsRelayed; });
  Test.Platform.Create(Kind, "a", "1");
  Test.Mirror.step();
  const std::size_t Before = Test.Fake.reads();
  for (int Step = 0; Step < 14; ++Step) {
    REQUIRE(Test.Mirror.step() <= milliseconds(200));
    Test.Clock.advance(milliseconds(200));
  }
  REQUIRE(Test.Fake.reads() == Before);
  IsRelayed = false;
  Test.Mirror.step();
  REQUIRE(Test.Fake.reads() == Before + 1);
  IsRelayed = true;
  Test.Clock.advance(seconds(4));
  Test.Mirror.step();
  REQUIRE(Test.Fake.reads() == Before + 2);
}

TEST_CASE("a mirror that knows nothing learns all from a peer") {
  mirrored Test;
  Test.Platform.Create(Kind, "a", "1");
  Test.Mirror.step();
  object_mirror New(Test.Clock, Test.Platform, std::string(Kind), {});
  REQUIRE_FALSE(New.known());
  relay(Test.Mirror, New);
  REQUIRE(New.known());
  REQUIRE(New.find("a")->Body == "1");
}
