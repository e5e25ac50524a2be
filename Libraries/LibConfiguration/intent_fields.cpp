#include "LibConfiguration/intent_fields.h"

namespace spindle {

template <typename record>
static field<record> tokensField(std::string Name, tokens record::*Member,
                                 std::int64_t Min, std::string Meaning,
                                 bool Required) {
  static constexpr std::int64_t Max = 1'000'000'000'000;
  return makeField<record>(
      {std::move(Name), "integer", "tokens", describeRange(Min, Max),
       std::move(Meaning), Required},
      Member,
      [Min](const nlohmann::json &Value) {
        return tokens{readInteger(Value, Min, Max)};
      },
      [](tokens Value) { return Value.Count; });
}

const field_table<zone_declaration> &zoneFields() {
  using record = zone_declaration;
  static const field_table<record> Table = {
      nameField<record>("name", &record::Name, "The availability zone."),
      nameField<record>("region", &record::Region, "The zone's region.", false),
      integerField<record>("weight", &record::Weight, "", 1, 1'000'000,
                           "The zone's part of every customer's rate, relative "
                           "to other zones; kept when it is cut off."),
  };
  return Table;
}

static field<customer_declaration> rateField() {
  return makeField<customer_declaration>(
      {"ratePerSecond", "number", "tokens/s", "0.001..1e9",
       "The customer's rate over the whole fleet.", true},
      &customer_declaration::Rate,
      [](const nlohmann::json &Value) {
        return token_rate{readNumber(Value, 0.001, 1e9)};
      },
      [](token_rate Rate) { return Rate.PerSecond; });
}

const field_table<customer_declaration> &customerFields() {
  using record = customer_declaration;
  static const field_table<record> Table = {
      nameField<record>("name", &record::Name, "The customer."),
      rateField(),
      tokensField<record>("burst", &record::Burst, 1,
                          "Tokens that the customer may use at once, over the "
                          "whole fleet.",
                          true),
      integerField<record>("weight", &record::Weight, "", 1, 1'000'000,
                           "The customer's part of contended engines, relative "
                           "to others."),
      choiceField<record>("highestPriority", &record::HighestPriority,
                          {{"rush", priority_class::Rush},
                           {"chat", priority_class::Chat},
                           {"plain", priority_class::Plain},
                           {"batch", priority_class::Batch}},
                          "The highest class that its requests may claim."),
      choiceField<record>("whenIsolated", &record::WhenIsolated,
                          {{"serve", isolated_key_policy::Serve},
                           {"refuse", isolated_key_policy::Refuse}},
                          "What a host that can't confirm its configuration "
                          "does with the customer's keys."),
      durationField<record>("isolationLimitSeconds", &record::IsolationLimit, 1,
                            86'400,
                            "How long an unconfirmed configuration is trusted "
                            "under \"refuse\"."),
  };
  return Table;
}

static std::string readDigest(const nlohmann::json &Value) {
  static constexpr std::size_t DigestLength = 64;
  std::string Digest = readText(Value);
  const bool IsHexadecimal =
      Digest.find_first_not_of("0123456789abcdef") == std::string::npos;
  if (Digest.size() != DigestLength || !IsHexadecimal)
    throw field_error("must be a SHA-256 digest of 64 lower-case hexadecimal "
                      "digits; never the key itself");
  return Digest;
}

const field_table<key_grant> &keyFields() {
  using record = key_grant;
  static const field_table<record> Table = {
      nameField<record>("name", &record::Name, "The grant's name."),
      nameField<record>("customer", &record::Customer, "Whose key it is."),
      makeField<record>({"digest", "text", "", "64 hexadecimal digits",
                         "The SHA-256 digest of the key.", true},
                        &record::Digest, readDigest,
                        [](const std::string &Text) { return Text; }),
  };
  return Table;
}

static field<adapter_group> versionsField() {
  const auto Read = [](const nlohmann::json &Value) {
    if (!Value.is_array() || Value.empty())
      throw field_error("must be a list of at least one name");
    std::vector<std::string> Versions;
    for (const nlohmann::json &Element : Value)
      Versions.push_back(readName(Element));
    return Versions;
  };
  return makeField<adapter_group>(
      {"versions", "list of names", "", "", "The declared versions.", true},
      &adapter_group::Versions, Read,
      [](const std::vector<std::string> &Versions) { return Versions; });
}

const field_table<adapter_group> &adapterGroupFields() {
  using record = adapter_group;
  static constexpr std::int64_t CountLimit = 200'000;
  static const field_table<record> Table = {
      nameField<record>("name", &record::Name, "The adapter.", false),
      nameField<record>("prefix", &record::Prefix,
                        "In place of a name: the start of the names of many.",
                        false),
      integerField<record>("count", &record::Count, "", 1, CountLimit,
                           "With a prefix: how many; names end with 1..count."),
      versionsField(),
      nameField<record>("default", &record::DefaultVersion,
                        "The version that the bare name means.", false),
      nameField<record>("model", &record::Model, "The base model."),
      nameField<record>("customer", &record::Customer,
                        "The customer that may use it; none: every customer.",
                        false),
  };
  return Table;
}

const field_table<upstream_declaration> &upstreamFields() {
  using record = upstream_declaration;
  static const field_table<record> Table = {
      nameField<record>("name", &record::Name,
                        "The upstream, as in the platform's list of machines."),
      choiceField<record>("kind", &record::Kind,
                          {{"engine", upstream_kind::Engine},
                           {"service", upstream_kind::Service}},
                          "What it is.", true),
      endpointField<record>("address", &record::Address, "Where it listens.",
                            true),
      nameField<record>("zone", &record::Zone, "Its availability zone."),
      nameField<record>("model", &record::Model, "Engines: the base model.",
                        false),
      integerField<record>("slots", &record::Slots, "", 1, 4'096,
                           "Engines: how many adapters fit."),
      integerField<record>("batchSize", &record::BatchSize, "", 1, 65'536,
                           "Engines: how many requests run in one batch."),
      flagField<record>("honoursFencing", &record::HonoursFencing,
                        "Engines: whether an order with an old fencing number "
                        "is refused."),
  };
  return Table;
}

const field_table<route_declaration> &routeFields() {
  using record = route_declaration;
  static const field_table<record> Table = {
      nameField<record>("name", &record::Name, "The route."),
      choiceField<record>(
          "kind", &record::Kind,
          {{"model", route_kind::Model}, {"service", route_kind::Service}},
          "Completions on engines, or a plain service.", true),
      textField<record>("pathPrefix", &record::PathPrefix,
                        "The start of the paths, in whole segments.", true),
      textListField<record>("methods", &record::Methods,
                            "The allowed methods; none: all."),
      textListField<record>("upstreams", &record::Upstreams,
                            "The upstreams; a model route may leave them out "
                            "and means all engines."),
      flagField<record>("open", &record::Open,
                        "Open to callers without a key."),
      flagField<record>("idempotent", &record::Idempotent,
                        "Whether a call may be repeated by the system."),
      flagField<record>("orderKeyRequired", &record::OrderKeyRequired,
                        "Not idempotent: whether an Idempotency-Key is "
                        "required."),
      flagField<record>("serviceDeduplicates", &record::ServiceDeduplicates,
                        "The service itself runs one order key once, so that "
                        "orders may be sent while the platform can't record "
                        "them."),
      integerField<record>("bodyLimitBytes", &record::BodyLimitBytes, "bytes",
                           0, 1'073'741'824, "The largest request body."),
      durationField<record>("firstByteTimeoutMs", &record::FirstByteTimeout, 1,
                            3'600'000, "How long the answer's start may take."),
      durationField<record>("betweenBytesTimeoutMs",
                            &record::BetweenBytesTimeout, 1, 3'600'000,
                            "How long a gap within the answer may be."),
      tokensField<record>("cost", &record::Cost, 0,
                          "Tokens charged for a call to a service.", false),
  };
  return Table;
}

static field<policy_declaration> loadsPerSecondField() {
  return makeField<policy_declaration>(
      {"weightStoreLoadsPerSecond", "number", "loads/s", "0.001..1e6",
       "Loads a second that the weight store allows to the whole fleet.",
       false},
      &policy_declaration::WeightStoreLoadsPerSecond,
      [](const nlohmann::json &Value) { return readNumber(Value, 0.001, 1e6); },
      [](double Value) { return Value; });
}

static field<policy_declaration>
policyChoice(std::string Name, std::string policy_declaration::*Member,
             std::initializer_list<std::string_view> Names,
             std::string Meaning) {
  std::vector<std::pair<std::string, std::string>> Choices;
  for (const std::string_view Choice : Names)
    Choices.emplace_back(Choice, Choice);
  return choiceField<policy_declaration>(std::move(Name), Member, Choices,
                                         std::move(Meaning));
}

const field_table<policy_declaration> &policyFields() {
  using record = policy_declaration;
  static const field_table<record> Table = {
      policyChoice("routing", &record::Routing,
                   {"residency", "least-loaded", "random", "consistent-hash"},
                   "Where a request runs."),
      policyChoice("residency", &record::Residency, {"value", "lru"},
                   "Which adapters are loaded."),
      policyChoice("queueing", &record::Queueing, {"fair", "fifo"},
                   "Who waits."),
      loadsPerSecondField(),
      integerField<record>("weightStoreLoadsInFlight",
                           &record::WeightStoreLoadsInFlight, "", 1, 100'000,
                           "Loads in flight at full speed in the whole "
                           "fleet."),
      integerField<record>("queueLimit", &record::QueueLimit, "", 1, 1'000'000,
                           "Requests of one customer that wait on one host."),
      durationField<record>("queueTimeoutMs", &record::QueueTimeout, 1,
                            3'600'000,
                            "The longest that a request waits on a host."),
      durationField<record>("ageingStepMs", &record::AgeingStep, 1, 3'600'000,
                            "A waiting request rises by one class each time "
                            "this passes."),
      integerField<record>("retryPercent", &record::RetryPercent, "", 0, 100,
                           "Retries allowed for each hundred calls of a "
                           "customer."),
      durationField<record>("quarantineSeconds", &record::QuarantineTime, 1,
                            86'400,
                            "How long a request that crashes upstreams is "
                            "held back."),
  };
  return Table;
}

static void expandName(const adapter_group &Group, const std::string &Name,
                       std::vector<adapter_declaration> &Adapters) {
  for (const std::string &Version : Group.Versions)
    Adapters.push_back({Name, Version, Group.Model, Group.Customer,
                        Version == Group.DefaultVersion});
}

std::vector<adapter_declaration> expandGroup(const adapter_group &Group) {
  std::vector<adapter_declaration> Adapters;
  if (!Group.Name.empty())
    expandName(Group, Group.Name, Adapters);
  for (std::uint32_t Number = 1; Number <= Group.Count; ++Number)
    expandName(Group, Group.Prefix + std::to_string(Number), Adapters);
  return Adapters;
}

std::vector<adapter_group>
joinAdapters(const std::vector<adapter_declaration> &Adapters) {
  std::vector<adapter_group> Groups;
  for (const adapter_declaration &Adapter : Adapters) {
    const bool Joins = !Groups.empty() && Groups.back().Name == Adapter.Name &&
                       Groups.back().Model == Adapter.Model &&
                       Groups.back().Customer == Adapter.Customer;
    if (!Joins)
      Groups.push_back(
          {Adapter.Name, "", 0, {}, "", Adapter.Model, Adapter.Customer});
    Groups.back().Versions.push_back(Adapter.Version);
    if (Adapter.IsDefault)
      Groups.back().DefaultVersion = Adapter.Version;
  }
  return Groups;
}

} // namespace spindle
