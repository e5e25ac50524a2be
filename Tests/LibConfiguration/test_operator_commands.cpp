#include "LibConfiguration/configuration_plan.h"
#include "LibConfiguration/intent_text.h"
#include "LibConfiguration/key_decision.h"
#include "LibCore/digest.h"
#include "LibMembership/lease_record.h"
#include "Support/fake_platform.h"
#include "sample_intent.h"
#include "spindlectl/commands.h"

#include <map>
#include <sstream>

#include <catch2/catch.hpp>

using namespace spindle;

namespace {

/// Runs operator commands against a platform in memory. While a command waits,
/// the clock advances and every running host renews its lease.
struct terminal {
  terminal() {
    Clock.pause();
    Context.Confirm = [this](const std::string &) { return Confirms; };
    Context.Sleep = [this](milliseconds Pause) {
      Clock.advance(Pause);
      for (const auto &[Host, Follows] : Running)
        renew(Host, Follows ? headVersion() : 1);
    };
    Context.ReadFile = [this](const std::string &Path) { return Files[Path]; };
    Context.WriteFile = [this](const std::string &Path,
                               const std::string &Text) { Files[Path] = Text; };
    Context.RandomHex = [this](std::size_t Bytes) {
      return std::string(2 * Bytes, static_cast<char>('a' + Randoms++));
    };
    Context.Operator = "anna";
    Files["intent"] = writeIntent(sampleIntent());
    REQUIRE(run({"plan", "intent"}) == exit_code::Done);
    REQUIRE(run({"apply", "plan.json"}) == exit_code::Done);
  }

  std::uint64_t headVersion() const {
    return readConfigurationHead(Context.Platform)->first.Version;
  }

  void addHost(const std::string &Host, bool Follows) {
    Context.Platform.Create("machines", Host, R"({"role":"host"})");
    Running[Host] = Follows;
    renew(Host, 1);
  }

  void renew(const std::string &Host, std::uint64_t Version) {
    const std::string Kind = leaseKind("gent-a");
    lease_record Record;
    Record.Zone = "gent-a";
    Record.Link = {"127.0.0.1", 1};
    Record.Renewals = ++Renewals;
    Record.ConfigurationVersion = Version;
    Record.RenewedAt = Clock.wallNow();
    const auto Object = Context.Platform.Get(Kind, Host);
    if (!Object) {
      Context.Platform.Create(Kind, Host, writeLease(Record));
      return;
    }
    const lease_record Known = readLease(Object->Body);
    Record.Stopped = Record.DrainRequested = Known.DrainRequested;
    Context.Platform.Update(Kind, Host, Object->Version, writeLease(Record));
  }

  exit_code run(const std::vector<std::string> &Words,
                const std::string &File = "") {
    Out.str("");
    Errors.str("");
    return runCommand(Context, Words, File);
  }

  runtime_clock Clock;
  fake_platform Fake;
  std::ostringstream Out;
  std::ostringstream Errors;
  operator_context Context{Clock, Fake.port(), Out, Errors};
  std::map<std::string, std::string> Files;
  std::map<std::string, bool> Running;
  std::uint64_t Renewals = 0;
  int Randoms = 0;
  bool Confirms = true;
};

} // namespace

TEST_CASE("an intent is planned, confirmed and put in force, or refused") {
  terminal Terminal;
  CHECK(Terminal.headVersion() == 1);
  CHECK(Terminal.run({"plan", "intent"}) == exit_code::Done);
  CHECK_THAT(Terminal.Errors.str(), Catch::Contains("nothing changes"));
  intent Intent = sampleIntent();
  Intent.Customers[0].Burst = {77};
  Terminal.Files["changed"] = writeIntent(Intent);
  REQUIRE(Terminal.run({"plan", "changed"}, "p1") == exit_code::Done);
  REQUIRE(Terminal.run({"plan", "changed"}, "p2") == exit_code::Done);
  Terminal.Confirms = false;
  CHECK(Terminal.run({"apply", "p1"}) == exit_code::Refused);
  CHECK(Terminal.headVersion() == 1);
  Terminal.Confirms = true;
  CHECK(Terminal.run({"apply", "p1"}) == exit_code::Done);
  CHECK(Terminal.run({"apply", "p2"}) == exit_code::PlanOutdated);
  CHECK_THAT(Terminal.Errors.str(),
             Catch::Contains("version 2 by anna: customer aalst changed"));
  CHECK(Terminal.run({"apply", "p1"}) == exit_code::Done);
  CHECK(Terminal.headVersion() == 2);
}

TEST_CASE(
    "invalid input and an unreachable platform have their own exit codes") {
  terminal Terminal;
  Terminal.Files["broken"] = "{\"zone\": []}";
  CHECK(Terminal.run({"plan", "broken"}) == exit_code::BadInput);
  CHECK_THAT(Terminal.Errors.str(), Catch::Contains("broken:1:10: zone"));
  CHECK(Terminal.run({"fly"}) == exit_code::BadInput);
  CHECK(Terminal.run({"keys", "withdraw", "none"}) == exit_code::BadInput);
  CHECK(Terminal.run({"get", "lids"}) == exit_code::BadInput);
  Terminal.Fake.setFaults({true, 0, 0});
  CHECK(Terminal.run({"status"}) == exit_code::PlatformUnreachable);
}

TEST_CASE("a key is stored only as a digest and shown once") {
  terminal Terminal;
  REQUIRE(Terminal.run({"keys", "grant", "aalst", "k3"}) == exit_code::Done);
  const std::string Line = Terminal.Out.str();
  const std::string Key(64, Line[Line.find("only now: ") + 10]);
  CHECK_THAT(Line, Catch::Contains(Key));
  const configuration_snapshot Snapshot(
      2, readConfiguration(Terminal.Context.Platform)->Intent);
  CHECK(Snapshot.findKey(sha256Hex(Key))->Name == "k3");
  for (const char *Kind : {"configurationheads", "configurationparts"})
    for (const platform_object &Object :
         Terminal.Context.Platform.List(Kind).Objects)
      CHECK_THAT(Object.Body, !Catch::Contains(Key));
  CHECK(Terminal.run({"keys", "grant", "nobody", "k4"}) == exit_code::BadInput);
}

TEST_CASE("a withdrawal is in force only when no host accepts the key") {
  terminal Terminal;
  Terminal.addHost("entry-1", true);
  CHECK(Terminal.run({"keys", "withdraw", "aalst-1"}) == exit_code::Done);
  CHECK_THAT(Terminal.Out.str(), Catch::Contains("version 2 is in force"));

  SECTION("a host that does not confirm is listed") {
    Terminal.addHost("entry-2", false);
    CHECK(Terminal.run({"keys", "withdraw", "mechelen-1"}) ==
          exit_code::NotInForceYet);
    CHECK_THAT(Terminal.Out.str(),
               Catch::Matches("(.|\n)*entry-2 +gent-a +1 +missing(.|\n)*"));
  }
  SECTION("a host with an expired lease may be isolated and still serve") {
    Terminal.run({"keys", "grant", "aalst", "k3"});
    Terminal.addHost("entry-2", false);
    Terminal.Running.erase("entry-2");
    CHECK(Terminal.run({"keys", "withdraw", "k3"}) == exit_code::NotInForceYet);
    CHECK_THAT(Terminal.Out.str(), Catch::Contains("past its lease"));
  }
  SECTION("an isolated host refuses the keys after the isolation limit") {
    Terminal.addHost("entry-2", false);
    Terminal.Running.erase("entry-2");
    Terminal.Context.WaitLimit = seconds(40);
    CHECK(Terminal.run({"keys", "withdraw", "mechelen-1"}) ==
          exit_code::NotInForceYet);
    Terminal.run({"keys", "grant", "mechelen", "mechelen-2"});
    Terminal.Context.WaitLimit = seconds(60);
    CHECK(Terminal.run({"keys", "withdraw", "mechelen-2"}) == exit_code::Done);
  }
  SECTION("a machine that the platform no longer lists is ignored") {
    Terminal.addHost("entry-2", false);
    Terminal.Running.erase("entry-2");
    Terminal.Context.Platform.Remove(
        "machines", "entry-2",
        Terminal.Context.Platform.Get("machines", "entry-2")->Version);
    CHECK(Terminal.run({"keys", "withdraw", "mechelen-1"}) == exit_code::Done);
  }
}

TEST_CASE("a drain is requested in the host's lease, also while it renews") {
  terminal Terminal;
  Terminal.addHost("entry-1", true);
  CHECK(Terminal.run({"drain", "entry-1"}) == exit_code::Done);
  CHECK_THAT(Terminal.Out.str(), Catch::Contains("entry-1 has stopped"));
  CHECK(Terminal.run({"drain", "entry-9"}) == exit_code::BadInput);
}
