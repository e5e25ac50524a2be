#include "LibCore/result_code.h"
#include "platform/record_codec.h"
#include "platform/request_codec.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/catch.h>

using namespace spindle;

namespace {

http_request_head callerHead() {
  return {"POST",
          "/x/1?q=%20",
          {{"Host", "a.example"},
           {"X-Parsleyspindle-Request-Id", "r1"},
           {"x-parsleyspindle-key", "secret"},
           {"X-Parsleyspindle-Model", "m/a3"},
           {"X-Parsleyspindle-Token-Counts", "1460,80"},
           {"X-Parsleyspindle-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410"},
           {"X-Parsleyspindle-Deadline-Ms", "6000"},
           {"X-Parsleyspindle-Tenant", "forged"},
           {"X-Parsleyspindle-Hold", "h"},
           {"X-Parsleyspindle-Pin-Ms", "100"},
           {"X-Parsleyspindle-Kv-Backup", "10.0.0.1:1"},
           {"Kv-From", "10.0.0.1:1/x"},
           {"X-Parsleyspindle-Request-Priority", "0"},
           {"X-Parsleyspindle-Expect-Instance", "i-forged"},
           {"Last-Event-Id", "4"},
           {"X-Other", "kept"}}};
}

std::size_t countOf(const http_request_head &Head, std::string_view Name) {
  std::size_t Count = 0;
  for (const http_field &Field : Head.Fields)
    Count += sameFieldName(Field.Name, Name) ? 1 : 0;
  return Count;
}

nlohmann::json registration() {
  return nlohmann::json::parse(R"({"service":"s","address":"10.0.0.9:8080",
      "zone":"a","version":"v1","slots":64,"state":"ready","cold-left-ms":0,
      "stage":"colocated","models":[{"name":"m","version":1,
      "adapters":["a3@2","a4@1"]}],"sequence":4,"born":1700000000000})");
}

} // namespace

TEST_CASE("readRequest parses all fields of a caller's header") {
  const request_description Read = readRequest(callerHead());
  REQUIRE(Read.AttemptId == "r1");
  REQUIRE(Read.Key == "secret");
  REQUIRE(Read.Model == "m");
  REQUIRE(Read.Adapter == "a3");
  REQUIRE(Read.HasTokenCounts);
  REQUIRE(Read.PromptTokens == 1460);
  REQUIRE(Read.MaxOutputTokens == 80);
  REQUIRE(Read.Prompt.size() == 2);
  REQUIRE(Read.Prompt[1].Id == 0x91bd3f06);
  REQUIRE(Read.Prompt[1].Tokens == 410);
  REQUIRE(Read.CallerTimeout == milliseconds(6000));
  REQUIRE(Read.LastEventId == "4");
}

TEST_CASE("API keys and forged header fields are not forwarded to upstreams") {
  upstream_request_metadata Metadata;
  Metadata.Upstream = "i-1";
  Metadata.Customer = "aalst";
  Metadata.TimeLeft = milliseconds(900);
  Metadata.Urgency = 3;
  Metadata.AdapterVersion = 7;
  const http_request_head Head = writeUpstreamRequest(callerHead(), Metadata);
  REQUIRE(Head.Method == "POST");
  REQUIRE(Head.Target == "/x/1?q=%20");
  for (const http_field &Field : Head.Fields) {
    REQUIRE(Field.Value.find("secret") == std::string::npos);
    REQUIRE(Field.Value.find("forged") == std::string::npos);
  }
  for (const std::string_view Name :
       {"X-Parsleyspindle-Key", "X-Parsleyspindle-Hold",
        "X-Parsleyspindle-Pin-Ms", "X-Parsleyspindle-Kv-Backup", "Kv-From"})
    REQUIRE(countOf(Head, Name) == 0);
  for (const std::string_view Name :
       {"X-Parsleyspindle-Tenant", "X-Parsleyspindle-Deadline-Ms",
        "X-Parsleyspindle-Expect-Instance", "X-Parsleyspindle-Expect-Version",
        "X-Parsleyspindle-Request-Priority", "Last-Event-Id", "X-Other",
        "X-Parsleyspindle-Model", "X-Parsleyspindle-Token-Counts",
        "X-Parsleyspindle-Prompt-Prefix", "X-Parsleyspindle-Request-Id"})
    REQUIRE(countOf(Head, Name) == 1);
  REQUIRE(findField(Head.Fields, "X-Parsleyspindle-Tenant") == "aalst");
  REQUIRE(findField(Head.Fields, "X-Parsleyspindle-Deadline-Ms") == "900");
  REQUIRE(findField(Head.Fields, "X-Parsleyspindle-Expect-Version") == "7");
}

TEST_CASE("a resumed stream states the id of the last forwarded event") {
  upstream_request_metadata Metadata;
  Metadata.LastEventId = "9";
  const http_request_head Head = writeUpstreamRequest(callerHead(), Metadata);
  REQUIRE(countOf(Head, "Last-Event-Id") == 1);
  REQUIRE(findField(Head.Fields, "Last-Event-Id") == "9");
}

TEST_CASE("readRequest accepts any header values") {
  rc::prop("any text in any field is parsed or ignored", [] {
    http_request_head Head = callerHead();
    for (http_field &Field : Head.Fields)
      if (*rc::gen::inRange(0, 3) == 0)
        Field.Value = *rc::gen::container<std::string>(
            rc::gen::element('0', '9', ',', ':', 'a', 'f', '-', ' ', '/'));
    const request_description Read = readRequest(Head);
    RC_ASSERT(Read.PromptTokens >= 0);
    RC_ASSERT(Read.MaxOutputTokens >= 0);
    for (const prompt_part &Part : Read.Prompt)
      RC_ASSERT(Part.Tokens >= 0);
  });
}

TEST_CASE("readUpstream parses a registration") {
  const upstream_pointer Entry = readUpstream("i-1", registration().dump());
  REQUIRE(Entry);
  REQUIRE(Entry->Address == endpoint{"10.0.0.9", 8080});
  REQUIRE(Entry->Models == std::vector<std::string>{"m"});
  REQUIRE(Entry->Adapters.size() == 2);
  REQUIRE(Entry->Adapters[0].Name == adapter_name{"m", "a3"});
  REQUIRE(Entry->Adapters[0].Version == 2);
  REQUIRE(Entry->StartedAt == 1700000000000);
  REQUIRE_FALSE(Entry->Draining);
}

TEST_CASE("a registration with a missing or mistyped field gives no upstream") {
  for (const char *const Field :
       {"service", "address", "zone", "slots", "state", "sequence"}) {
    nlohmann::json Missing = registration();
    Missing.erase(Field);
    REQUIRE_FALSE(readUpstream("i-1", Missing.dump()));
    nlohmann::json Mistyped = registration();
    Mistyped[Field] = nlohmann::json::array({1});
    REQUIRE_FALSE(readUpstream("i-1", Mistyped.dump()));
  }
  nlohmann::json State = registration();
  State["state"] = "sleeping";
  REQUIRE_FALSE(readUpstream("i-1", State.dump()));
  nlohmann::json Born = registration();
  Born["born"] = 1.5;
  REQUIRE_FALSE(readUpstream("i-1", Born.dump()));
  for (const char *const Text : {"", "null", "7", "\"x\"", "{", "[]"})
    REQUIRE_FALSE(readUpstream("i-1", Text));
}

TEST_CASE("damaged records are parsed or rejected without a crash") {
  rc::prop("a damaged record is parsed, ignored or rejected", [] {
    std::string Text = registration().dump();
    const int Damages = *rc::gen::inRange(1, 6);
    for (int Damage = 0; Damage < Damages; ++Damage)
      Text[*rc::gen::inRange<std::size_t>(0, Text.size())] =
          *rc::gen::arbitrary<char>();
    readUpstream("i-1", Text);
    readRelease(Text);
    try {
      readConfiguration(Text);
    } catch (const spindle_error &Error) {
      RC_ASSERT(Error.code() == result_code::ConfigurationCorrupt);
    }
    try {
      readReport(Text);
    } catch (const spindle_error &Error) {
      RC_ASSERT(Error.code() == result_code::UpstreamFailed);
    }
  });
}

TEST_CASE("readConfiguration parses routes, services, limits and customers") {
  const gateway_configuration Read = readConfiguration(R"({"version":7,
    "routes":[{"name":"r1","host":"a.example","path-prefix":"/p/",
      "kind":"stream","timeout-ms":10000,"slo-ms":1000,"priority":1,
      "service":"s","attempts":2,"public":false,"can-resume":true},
     {"name":"r2","host":"a.example","path-prefix":"/q/",
      "kind":"non_idempotent","split":[{"service":"s","weight":90},
      {"service":"t","weight":10}],"attempts":1,"public":true}],
    "services":[{"name":"s","health-path":"/h","max-conns":360,
      "engine":{"slots":64,"kv-capacity":255303,"weights-mb":66500.0,
      "adapter-slots":7,"loads-per-s":2.1,"models":[{"name":"m",
      "weights-mb":65099.9,"adapters":3000,"adapter-mb":12.0}]}},
     {"name":"t","health-path":"/h","max-conns":100}],
    "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,
      "header-timeout-ms":3000,"idle-timeout-ms":15000},
    "tenants":[{"name":"c","api-keys":["k1","k2"],"priority":1,
      "unit":"tokens","plain-tokens":200,"rate-per-s":86954,"burst":86954}]})");
  REQUIRE(Read.Version == 7);
  REQUIRE(Read.Routes.size() == 2);
  REQUIRE(Read.Routes[0].Kind == call_kind::Stream);
  REQUIRE(Read.Routes[0].retryable());
  REQUIRE(Read.Routes[1].Kind == call_kind::AtMostOnce);
  REQUIRE(Read.Routes[1].Public);
  REQUIRE(Read.Routes[1].Services.size() == 2);
  REQUIRE(Read.Services.at("s").Engine->AdapterSlots == 7);
  REQUIRE(Read.Services.at("s").Engine->Models.front().Name == "m");
  REQUIRE_FALSE(Read.Services.at("t").Engine);
  REQUIRE(Read.Limits.IdleTimeout == milliseconds(15000));
  REQUIRE(findCustomer(Read, "k2")->CountsTokens);
  REQUIRE(findCustomer(Read, "k2")->Priority == 1);
}

TEST_CASE("writeOrder serializes loads and unloads with fencing token and "
          "order count") {
  adapter_order Order;
  Order.Adapter = {{"m", "a3"}, 2};
  Order.ExpectedCount = 4;
  Order.Holder = "h1";
  Order.FencingToken = 41;
  REQUIRE(nlohmann::json::parse(writeOrder(Order)) ==
          nlohmann::json::parse(R"({"operation":"load","model":"m",
            "adapter":"a3","version":2,"expected":4,"holder":"h1",
            "fence-token":41})"));
  Order.Action = order_action::Unload;
  Order.Adapter = {{"m", ""}, 0};
  Order.ExpectedCount.reset();
  REQUIRE(nlohmann::json::parse(writeOrder(Order)) ==
          nlohmann::json::parse(R"({"operation":"unload","model":"m",
            "holder":"h1","fence-token":41})"));
}

TEST_CASE("readReport parses loaded and loading adapters and the load") {
  const engine_state State = readReport(R"({"stage":"colocated","models":
    [{"name":"m","version":1,"adapters":["a1@3"]}],"busy":false,"sequence":2,
    "queued":1,"active":12,"kv-used":1,"kv-total":9,"handles":0,
    "pending":["m/a2@5"]})");
  REQUIRE(State.OrderCount == 2);
  REQUIRE(State.Loaded.front() == versioned_adapter{{"m", "a1"}, 3});
  REQUIRE(State.Loading.front() == versioned_adapter{{"m", "a2"}, 5});
  REQUIRE(State.Running == 12);
  REQUIRE(State.Waiting == 1);
}

TEST_CASE("a stated limit that can't be read is taken for none or for an "
          "endless one") {
  const auto LimitOf = [](const http_fields &Fields) {
    return readResponse({200, Fields}).Statement;
  };
  REQUIRE_FALSE(LimitOf({}).RequestsPerSecond);
  REQUIRE_FALSE(LimitOf({}).IsMalformed);
  REQUIRE(LimitOf({{"server-limit", "1.4"}}).RequestsPerSecond == 1.4);
  REQUIRE(LimitOf({{"Server-Limit", "0"}}).RequestsPerSecond == 0);
  REQUIRE(LimitOf({{"Server-Limit", "3"}, {"Server-Limit", "2"}})
              .RequestsPerSecond == 2);
  for (const std::string Text :
       {"", "-1", "nan", "inf", "1,4", "1.4 a", "Fri, 04 Dec 2026"}) {
    const upstream_statement Statement = LimitOf({{"Server-Limit", Text}});
    REQUIRE_FALSE(Statement.RequestsPerSecond);
    REQUIRE(Statement.IsMalformed);
  }
}

TEST_CASE("a time to retry after that can't be read shuts an upstream out") {
  const auto StatementOf = [](int Status, const http_fields &Fields) {
    return readResponse({Status, Fields}).Statement;
  };
  REQUIRE(StatementOf(503, {{"Retry-After", "1.5"}}).RefusesFor ==
          milliseconds(1'500));
  REQUIRE(StatementOf(503, {{"Retry-After", "1"}, {"retry-after", "2"}})
              .RefusesFor == milliseconds(2'000));
  REQUIRE(StatementOf(503, {{"Retry-After", "1e9"}}).IsMalformed);
  REQUIRE(StatementOf(503, {{"Retry-After", "999999999999"}}).RefusesFor ==
          milliseconds(300'000));
  REQUIRE_FALSE(StatementOf(429, {{"Retry-After", "1"}}).RefusesFor);
  for (const std::string Text :
       {"", "-1", "nan", "Fri, 04 Dec 2026 10:00:00 GMT"}) {
    const upstream_statement Statement =
        StatementOf(503, {{"Retry-After", Text}});
    REQUIRE_FALSE(Statement.RefusesFor);
    REQUIRE(Statement.IsMalformed);
  }
}

// Guards against loads taken from text that states none, and against an engine
// that counts as free because its figures can't be read.
TEST_CASE("a stated load that can't be read is taken for a load") {
  const auto LoadOf = [](const http_fields &Fields) {
    return readResponse({200, Fields});
  };
  const std::string Name = "X-Parsleyspindle-Server-Load";
  REQUIRE_FALSE(LoadOf({}).Reading);
  REQUIRE_FALSE(LoadOf({}).HasMalformedReading);
  REQUIRE(*LoadOf({{Name, "3,0,8"}}).Reading ==
          engine_reading{3, 0, 8, std::nullopt});
  REQUIRE(*LoadOf({{"x-parsleyspindle-server-load", "3, 1, 8, 250"}}).Reading ==
          engine_reading{3, 1, 8, 2.5});
  for (const std::string Text : {"",
                                 " ",
                                 "3",
                                 "3,0",
                                 "3,0,",
                                 "3,0,8,",
                                 "3,0,8,0",
                                 "3,0,8,100,1",
                                 "-3,0,8",
                                 "3,-1,8,100",
                                 "3,0,8,-100",
                                 "3,0,8,1.5",
                                 "3,0,8,1e30",
                                 "3,0,8,10001",
                                 "1000000000000000000000000000000,0,8",
                                 "4294967295,0,8",
                                 "a,b,c",
                                 "3;0;8",
                                 "nan,0,8",
                                 "3,,8",
                                 "3 0,0,8"}) {
    const upstream_response_metadata Read = LoadOf({{Name, Text}});
    REQUIRE_FALSE(Read.Reading);
    REQUIRE(Read.HasMalformedReading);
  }
  const upstream_response_metadata Twice =
      LoadOf({{Name, "3,0,8"}, {Name, "3,0,8"}});
  REQUIRE_FALSE(Twice.Reading);
  REQUIRE(Twice.HasMalformedReading);
}

TEST_CASE("any text of a load makes the host crash or gives absurd figures") {
  rc::prop("of digits, commas and others", [](const std::string &Text) {
    const upstream_response_metadata Read =
        readResponse({200, {{"X-Parsleyspindle-Server-Load", Text}}});
    RC_ASSERT(Read.Reading.has_value() != Read.HasMalformedReading);
    if (Read.Reading)
      RC_ASSERT(Read.Reading->Waiting <= 1'000'000);
  });
}

TEST_CASE("a length hint that can't be read is taken for one") {
  const auto HintOf = [](const std::string &Text) {
    return readRequest({"POST", "/x", {{"X-Parsleyspindle-Length-Hint", Text}}})
        .OutputHint;
  };
  REQUIRE_FALSE(readRequest({"POST", "/x", {}}).OutputHint);
  REQUIRE(HintOf("120") == 120);
  REQUIRE(HintOf("0") == 0);
  for (const std::string Text :
       {"", "-1", "1e3", "abc", "12 ", "1000000000000000000000000000000",
        "9223372036854775807"})
    REQUIRE_FALSE(HintOf(Text));
}
