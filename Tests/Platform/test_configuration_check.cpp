// An operator sends a configuration that hosts read without an error, and some
// requests then fail or an entry never has an effect: each row changes one
// value of a configuration without findings. The checks read what hosts read.

#include "LibCore/result_code.h"
#include "platform/configuration_text.h"
#include "platform/record_codec.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace spindle;
using nlohmann::json;

namespace {

json sample() {
  return json::parse(R"({"version":7,
    "routes":[
      {"name":"r0","host":"a.example","path-prefix":"/x/","kind":"stream",
       "timeout-ms":5000,"slo-ms":1000,"gap-slo-ms":300,"attempts":2,
       "can-resume":true,"split":[{"service":"s0","weight":90},
                                  {"service":"s1","weight":10}]},
      {"name":"r1","host":"a.example","path-prefix":"/x/y/","service":"s1"},
      {"name":"r2","host":"b.example","path-prefix":"/","kind":"idempotent",
       "attempts":2,"service":"s1","public":true}],
    "services":[
      {"name":"s0","max-conns":7,"engine":{"slots":4,"adapter-slots":3,
       "weights-mb":1000,"models":[
         {"name":"m","weights-mb":900,"adapter-mb":30}]}},
      {"name":"s1"}],
    "tenants":[
      {"name":"c0","api-keys":["k0","k1"],"rate-per-s":500,"burst":600,
       "unit":"tokens","plain-tokens":200},
      {"name":"c1","api-keys":["k2"]}]})");
}

/// The configuration with \p Patch, a JSON patch, applied.
std::string patched(const std::string &Patch) {
  return sample().patch(json::parse(Patch)).dump();
}

/// The configuration with \p Value at \p Path, in place of what was there.
std::string replaced(const std::string &Path, const std::string &Value) {
  const bool IsThere = sample().contains(json::json_pointer(Path));
  const std::string Operation = IsThere ? "replace" : "add";
  return patched(R"([{"op":")" + Operation + R"(","path":")" + Path +
                 R"(","value":)" + Value + "}]");
}

std::vector<std::string> findingsOf(const std::string &Text) {
  std::vector<std::string> Lines;
  for (const configuration_finding &Finding :
       checkConfiguration(readConfiguration(Text)))
    Lines.push_back(describe(Finding));
  return Lines;
}

struct finding_row {
  const char *Path;
  const char *Value;
  /// Severity, place and field of the only finding.
  const char *Expected;
};

const finding_row Rows[] = {
    {"/routes/1/name", "\"\"", "warning: routes[1] \"\" name: "},
    {"/routes/1/name", "\"r0\"", "warning: routes[1] \"r0\" name: "},
    {"/routes/1/host", "\"\"", "error: routes[1] \"r1\" host: "},
    {"/routes/1/host", "\"a:80\"", "error: routes[1] \"r1\" host: "},
    {"/routes/1/path-prefix", "\"x/y/\"",
     "error: routes[1] \"r1\" path-prefix: "},
    {"/routes/1/path-prefix", "\"/x/y\"",
     "error: routes[1] \"r1\" path-prefix: "},
    {"/routes/1/path-prefix", "\"/x?y/\"",
     "error: routes[1] \"r1\" path-prefix: "},
    {"/routes/1/path-prefix", "\"\"", "error: routes[1] \"r1\" path-prefix: "},
    {"/routes/1/path-prefix", "\"/x/\"",
     "error: routes[1] \"r1\" path-prefix: no request matches: route \"r0\""},
    {"/routes/2", R"({"name":"r2","host":"A.Example","path-prefix":"/x/",
                      "service":"s1"})",
     "error: routes[2] \"r2\" path-prefix: no request matches: route \"r0\""},
    {"/routes/0/split/1/service", "\"s9\"",
     "error: routes[0] \"r0\" service: service \"s9\""},
    {"/routes/0/split/1/weight", "0", "warning: routes[0] \"r0\" weight: "},
    {"/routes/0/split/1/weight", "-1", "error: routes[0] \"r0\" weight: "},
    {"/routes/1", R"({"name":"r1","host":"a.example","path-prefix":"/z/"})",
     "error: routes[1] \"r1\" service: "},
    {"/routes/0/slo-ms", "5001", "error: routes[0] \"r0\" slo-ms: "},
    {"/routes/0/gap-slo-ms", "5001", "error: routes[0] \"r0\" gap-slo-ms: "},
    {"/routes/1/gap-slo-ms", "1", "warning: routes[1] \"r1\" gap-slo-ms: "},
    {"/routes/1/can-resume", "true", "warning: routes[1] \"r1\" can-resume: "},
    {"/routes/1/attempts", "2", "warning: routes[1] \"r1\" attempts: "},
    {"/routes/0/can-resume", "false", "warning: routes[0] \"r0\" attempts: "},
    {"/services/-", R"({"name":"s2"})", "warning: services \"s2\" name: "},
    {"/services/0/engine/models/0/adapter-mb", "101",
     "error: services \"s0\" engine.adapter-slots: "},
    {"/services/0/engine/adapter-slots", "0",
     "error: services \"s0\" engine.adapter-slots: "},
    {"/services/0/engine/models/-", R"({"name":"n","weights-mb":1000.5})",
     "error: services \"s0\" engine.weights-mb: "},
    {"/tenants/1/name", "\"\"", "error: tenants[1] \"\" name: "},
    {"/tenants/1/name", "\"c0\"", "error: tenants[1] \"c0\" name: "},
    {"/tenants/1/api-keys", "[]", "error: tenants[1] \"c1\" api-keys: "},
    {"/tenants/1/api-keys/0", "\"k1\"",
     "error: tenants[1] \"c1\" api-keys: key 0 belongs to customer \"c0\""},
    {"/tenants/1/api-keys/0", "\"\"",
     "error: tenants[1] \"c1\" api-keys: key 0 is empty"},
    {"/tenants/1/rate-per-s", "-1", "error: tenants[1] \"c1\" rate-per-s: "},
    {"/tenants/1/burst", "5", "warning: tenants[1] \"c1\" burst: "},
    {"/tenants/1/rate-per-s", "0.5", "warning: tenants[1] \"c1\" burst: "},
    {"/tenants/0/plain-tokens", "601", "warning: tenants[0] \"c0\" burst: "},
};

} // namespace

TEST_CASE("a configuration that serves all its entries has a finding") {
  CHECK(findingsOf(sample().dump()).empty());
  // A prefix behind a shorter one of the same host matches.
  CHECK(findingsOf(replaced("/routes/1/path-prefix", "\"/x/z/w/\"")).empty());
  // A burst below a request is raised to the rate.
  CHECK(findingsOf(replaced("/tenants/0/burst", "1")).empty());
  // Without a timeout, any objective can be met.
  CHECK(findingsOf(replaced("/routes/1/slo-ms", "5001")).empty());
}

TEST_CASE("a fault has no finding, several, or one at another place") {
  for (const finding_row &Row : Rows) {
    CAPTURE(Row.Path, Row.Value);
    const std::vector<std::string> Lines =
        findingsOf(replaced(Row.Path, Row.Value));
    CAPTURE(Lines);
    REQUIRE(Lines.size() == 1);
    CHECK_THAT(Lines[0], Catch::StartsWith(Row.Expected));
  }
}

TEST_CASE("a route without a service that can be chosen has no finding") {
  const std::vector<std::string> Lines =
      findingsOf(replaced("/routes/1/service", "\"s9\""));
  REQUIRE(Lines.size() == 2);
  CHECK_THAT(Lines[0], Catch::StartsWith("error: routes[1] \"r1\" service: "));
  CHECK(findingsOf(R"({"version":1,"routes":[],"services":[]})") ==
        std::vector<std::string>{"error: configuration: there is no route: "
                                 "every request is refused"});
}

TEST_CASE("the error of a configuration that can't be read lacks the place") {
  const std::pair<const char *, const char *> Faults[] = {
      {"/routes/1/path-prefix", "routes[1] path-prefix: "},
      {"/routes/0/attempts", "routes[0] attempts: "},
      {"/services/0/name", "services[0] name: "},
      {"/tenants/0/api-keys", "tenants[0] api-keys: "}};
  for (const auto &[Path, Place] : Faults)
    CHECK_THROWS_WITH(readConfiguration(replaced(Path, R"({"a":1})")),
                      Catch::StartsWith(Place));
  CHECK_THROWS_WITH(readConfiguration(patched(
                        R"([{"op":"remove","path":"/routes/1/host"}])")),
                    Catch::StartsWith("routes[1] host: "));
  CHECK_THROWS_WITH(readConfiguration(replaced("/limits", "5")),
                    Catch::StartsWith("limits "));
  CHECK_THROWS_WITH(readConfiguration("{\"version\":1,\n"),
                    Catch::Contains("line 2, column 1"));
  CHECK_THROWS_WITH(readConfiguration(replaced("/routes/0", "5")),
                    Catch::StartsWith("routes[0]"));
}

TEST_CASE("differences are unsorted, lack an entry, or show a key") {
  const std::string Next = patched(R"([
      {"op":"replace","path":"/version","value":8},
      {"op":"replace","path":"/tenants/0/api-keys/0","value":"secret"},
      {"op":"replace","path":"/tenants/0/burst","value":700},
      {"op":"replace","path":"/services/0/engine/adapter-slots","value":2},
      {"op":"replace","path":"/routes/2/name","value":"a"},
      {"op":"replace","path":"/routes/0/split/1/weight","value":20},
      {"op":"replace","path":"/routes/0/slo-ms","value":900},
      {"op":"add","path":"/limits","value":{"idle-timeout-ms":5000}}])");
  const std::string ChangedKeys = R"(changed: tenants "c0" api-keys: )"
                                  "2 (1 of its own) -> 2 (1 of its own)";
  std::vector<std::string> Lines;
  for (const configuration_difference &Difference : compareConfigurations(
           readConfiguration(sample().dump()), readConfiguration(Next)))
    Lines.push_back(describe(Difference));
  CHECK(Lines ==
        std::vector<std::string>{
            "changed: configuration version: 7 -> 8",
            "changed: configuration limits.idle-timeout-ms: 60000 -> 5000",
            "added: routes \"a\"", "changed: routes \"r0\" slo-ms: 1000 -> 900",
            "changed: routes \"r0\" service: s0 90, s1 10 -> s0 90, s1 20",
            "removed: routes \"r2\"",
            "changed: services \"s0\" engine.adapter-slots: 3 -> 2",
            ChangedKeys, "changed: tenants \"c0\" burst: 600 -> 700"});
}

TEST_CASE("a change of the order of entries is a difference") {
  json Turned = sample();
  std::swap(Turned["routes"][0], Turned["routes"][2]);
  std::swap(Turned["tenants"][0], Turned["tenants"][1]);
  CHECK(compareConfigurations(readConfiguration(sample().dump()),
                              readConfiguration(Turned.dump()))
            .empty());
}

TEST_CASE("a version that hosts ignore has no finding") {
  const gateway_configuration InForce = readConfiguration(sample().dump());
  const auto Count = [&](const std::string &Version, const std::string &Burst) {
    json Next = json::parse(replaced("/tenants/0/burst", Burst));
    Next["version"] = json::parse(Version);
    return checkSuccession(InForce, readConfiguration(Next.dump())).size();
  };
  CHECK(Count("8", "700") == 0);
  CHECK(Count("7", "600") == 0);
  CHECK(Count("7", "700") == 1);
  CHECK(Count("6", "600") == 1);
  CHECK(describe(checkSuccession(
            InForce, readConfiguration(replaced("/version", "6")))[0]) ==
        "error: configuration version: hosts ignore it: version 7 is in force");
}
