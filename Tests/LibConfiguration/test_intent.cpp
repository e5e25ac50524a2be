#include "LibConfiguration/configuration_codec.h"
#include "LibConfiguration/configuration_snapshot.h"
#include "LibConfiguration/intent_text.h"
#include "LibConfiguration/key_decision.h"
#include "LibConfiguration/validate_intent.h"
#include "LibCore/result_code.h"
#include "LibPlatform/platform_port.h"
#include "sample_intent.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace spindle;

static std::string refusal(const std::string &Text) {
  try {
    parseIntent(Text, "intent.json");
  } catch (const spindle_error &Error) {
    REQUIRE(Error.code() == result_code::InvalidIntent);
    return Error.what();
  }
  return "accepted";
}

TEST_CASE("a written intent is read back unchanged") {
  const std::string Text = writeIntent(sampleIntent());
  CHECK(writeIntent(parseIntent(Text, "intent.json")) == Text);
}

TEST_CASE("an intent without keys keeps those in force") {
  intent Intent = sampleIntent();
  const std::vector<key_grant> Keys = Intent.Keys;
  Intent.Keys.clear();
  CHECK(parseIntent(writeIntent(Intent), "f", Keys).Keys.size() == 2);
}

TEST_CASE("problems of an intent are reported with their positions") {
  const std::string Told = refusal(R"({
  "zones": [{"name": "a"}, {"name": "a"}],
  "customers": [{"name": "t", "ratePerSecond": 0, "burst": 5}],
  "keys": [{"name": "k", "customer": "t", "digest": "the-key"}]
})");
  CHECK_THAT(Told,
             Catch::Contains("intent.json:3:48: customers[0].ratePerSecond"));
  CHECK_THAT(Told, Catch::Contains("4:53: keys[0].digest: must be a SHA-256"));
  const std::string Dangling = refusal(R"({
  "zones": [{"name": "a"}, {"name": "a"}],
  "adapters": [
    {"name": "x", "versions": ["1"], "model": "none"},
    {"prefix": "y", "count": 9, "versions": ["1"], "model": "m", "customer": "t"}],
  "upstreams": [{"name": "e", "kind": "engine", "model": "m", "zone": "b",
                 "address": "127.0.0.1:1"}],
  "routes": [{"name": "r", "kind": "service", "pathPrefix": "/r",
              "upstreams": ["e"]}]
})");
  for (const char *Part :
       {":2:37: zones[1].name: \"a\" is declared twice",
        ":4:47: adapters[0].model: no engine serves \"none\"",
        ":5:78: adapters[1].customer: customer \"t\" is not declared",
        "upstreams[0].zone: zone \"b\" is not declared",
        "routes[0].upstreams: service \"e\" is not declared"})
    CHECK_THAT(Dangling, Catch::Contains(Part));
}

TEST_CASE("names with the same hash are refused") {
  const name_hash SameForAll = [](std::string_view) -> std::uint64_t {
    return 7;
  };
  CHECK(validateIntent(sampleIntent()).empty());
  CHECK_THAT(validateIntent(sampleIntent(), SameForAll).front().Message,
             Catch::Contains("have the same hash"));
}

TEST_CASE("a snapshot finds declared objects") {
  const configuration_snapshot Snapshot(4, sampleIntent());
  const customer_id Aalst = customer_id::ofName("aalst");
  CHECK(Snapshot.version() == 4);
  CHECK(Snapshot.findAdapter("pickler-2")->Version == "2");
  CHECK(Snapshot.findAdapter("pickler-2@1")->Version == "1");
  CHECK(Snapshot.findAdapter("pickler-2@1")->Customer ==
        customer_id::ofName("mechelen"));
  CHECK_FALSE(Snapshot.findAdapter("pickler-2@3"));
  CHECK_FALSE(Snapshot.findAdapter("pickler-9"));
  CHECK(Snapshot.adapterNamesFor(Aalst) ==
        std::vector<std::string>{"pickler-1@1", "pickler-1@2", "pickler-3@1",
                                 "pickler-3@2"});
  CHECK(Snapshot.findRoute("/v1/stock/7")->Name == "stock");
  CHECK(Snapshot.findRoute("/v1/stocks")->Name == "chat");
  CHECK(Snapshot.findRoute("/v2") == nullptr);
  CHECK(Snapshot.enginesOfModel("deksel-llm").size() == 1);
  CHECK(Snapshot.upstreamsOfRoute("chat").front()->Name == "deksel-llm-1");
}

TEST_CASE("62,000 adapters fit in parts and in 64 MB, and changing a key or "
          "adapter rewrites one part") {
  intent Intent = sampleIntent(31'000);
  const encoded_intent Before = encodeIntent(Intent);
  for (const auto &[Digest, Text] : Before.Parts)
    REQUIRE(writePartBody(Text).size() <= PlatformValueLimitBytes);
  const configuration_snapshot Snapshot(1, Intent);
  CHECK(Snapshot.adapterCount() == 62'000);
  CHECK(Snapshot.adapterTableBytes() <= 64'000'000);
  const auto CountNew = [&Before](const intent &Changed) {
    std::size_t Count = 0;
    for (const auto &[Digest, Text] : encodeIntent(Changed).Parts)
      Count += Before.Parts.count(Digest) == 0 ? 1 : 0;
    return Count;
  };
  Intent.Keys.pop_back();
  CHECK(CountNew(Intent) == 2); // the part and the index
  intent Larger = sampleIntent(31'000);
  Larger.Adapters.push_back({"new", "1", "deksel-llm", "", true});
  CHECK(CountNew(Larger) == 2);
}

TEST_CASE("a damaged part is refused") {
  const encoded_intent Encoded = encodeIntent(sampleIntent());
  rc::prop("any changed byte of any part", [&Encoded] {
    const int PartCount = static_cast<int>(Encoded.Parts.size());
    const auto Target =
        std::next(Encoded.Parts.begin(), *rc::gen::inRange(0, PartCount));
    const std::size_t Position =
        *rc::gen::inRange<std::size_t>(0, Target->second.size());
    const part_source Damaged = [&](const std::string &Digest) {
      std::string Text = Encoded.Parts.at(Digest);
      if (Digest == Target->first)
        Text[Position] ^= 1;
      return Text;
    };
    RC_ASSERT_THROWS_AS(decodeIntent(Encoded.Index, Damaged), spindle_error);
  });
  const part_source Good = [&](const std::string &Digest) {
    return Encoded.Parts.at(Digest);
  };
  CHECK(writeIntent(decodeIntent(Encoded.Index, Good)) ==
        writeIntent(sampleIntent()));
}

TEST_CASE(
    "an unconfirmed configuration is trusted as declared by the customer") {
  const configuration_snapshot Snapshot(1, sampleIntent());
  const time_point Confirmed{seconds(1000)};
  const auto Verdict = [&](const char *Key, seconds Later) {
    return decideKey(Snapshot, sha256Hex(Key), Confirmed + Later, Confirmed)
        .Verdict;
  };
  CHECK(Verdict("key one", seconds(9'999)) == key_verdict::Granted);
  CHECK(Verdict("key two", seconds(30)) == key_verdict::Granted);
  CHECK(Verdict("key two", seconds(31)) == key_verdict::NotConfirmed);
  CHECK(Verdict("key three", seconds(0)) == key_verdict::Unknown);
}
