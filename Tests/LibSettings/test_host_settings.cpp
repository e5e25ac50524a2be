#include "LibCore/result_code.h"
#include "LibSettings/host_settings.h"

#include <catch2/catch.hpp>

using namespace spindle;

static const std::string Whole = R"({
  // One host of Deksel.
  "name": "entry-1",
  "zone": "gent-a",
  "threads": 2,
  "listen": {
    "callers": "127.0.0.1:8080",
    "hostLink": "127.0.0.1:8081",
    "metrics": "127.0.0.1:8082"
  },
  "platform": {"servers": ["127.0.0.1:9000"]},
  "lease": {"durationMs": 10000, "renewMs": 3000}
})";

static std::string replaced(const std::string &From, const std::string &To) {
  std::string Text = Whole;
  Text.replace(Text.find(From), From.size(), To);
  return Text;
}

static std::string refusal(const std::string &Text) {
  try {
    parseHostSettings(Text, "host.json");
  } catch (const spindle_error &Error) {
    REQUIRE(Error.code() == result_code::InvalidSettings);
    return Error.what();
  }
  return "accepted";
}

TEST_CASE("settings with comments are read") {
  const host_settings Settings = parseHostSettings(Whole, "host.json");
  CHECK(Settings.Zone == "gent-a");
  CHECK(Settings.Listen.HostLink == endpoint{"127.0.0.1", 8081});
  CHECK(Settings.Lease.RenewInterval == seconds(3));
  CHECK(Settings.Timeouts.ConfigurationPoll == seconds(2));
}

TEST_CASE("broken settings name field and place") {
  const std::vector<std::array<std::string, 3>> Cases = {
      {"\"threads\": 2", "\"thread\": 2", "host.json:5:13: thread: unknown"},
      {"\"threads\": 2", "\"threads\": \"2\"",
       "5:14: threads: must be a whole"},
      {"\"threads\": 2", "\"threads\": 0",
       "5:14: threads: must be within 1..256"},
      {"\"threads\": 2", "\"zone\": \"b\"",
       "5:11: zone: the field stands twice"},
      {"\"zone\": \"gent-a\",", "", "host.json:1:1: zone: missing field"},
      {"127.0.0.1:8081", "localhost:8081",
       "8:17: listen.hostLink: address \"localhost:8081\" is not an IP"},
      {"127.0.0.1:8082", "127.0.0.1:99999", "9:16: listen.metrics: address"},
      {"[\"127.0.0.1:9000\"]", "[]", "11:27: platform.servers: must be a list"},
      {"gent-a", "_fleet", "4:11: zone: must start with a letter"},
      {"entry-1", "a/b", "3:11: name: may have letters, digits"},
      {"{\"servers\"", "[\"servers\"", "host.json:11:"},
      {"\"renewMs\": 3000", "\"renewMs\": 9000",
       "12:45: lease.renewMs: must be"},
      {"\"lease\": {", "\"lease\": true, \"log\": {\"json\": 1}, \"x\": {",
       "12:12: lease: must be an object"},
  };
  for (const std::array<std::string, 3> &Case : Cases) {
    INFO(Case[1]);
    CHECK_THAT(refusal(replaced(Case[0], Case[1])), Catch::Contains(Case[2]));
  }
}

TEST_CASE("every problem is told at once") {
  const std::string Told =
      refusal(R"({"name": 1, "zone": "", "listen": {}, "unknown": {}})");
  for (const char *Part :
       {"name: must be a text", "zone: must have", "listen.callers: missing",
        "unknown: unknown field", "platform: missing field"})
    CHECK_THAT(Told, Catch::Contains(Part));
}

TEST_CASE("the reference lists each field with type, unit, range, default") {
  CHECK_THAT(printSettingsReference(),
             Catch::Contains("| `lease.durationMs` | integer | ms | "
                             "1000..600000 | `10000` |"));
}
