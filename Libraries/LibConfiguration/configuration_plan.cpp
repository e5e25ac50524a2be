#include "LibConfiguration/configuration_plan.h"

#include "LibConfiguration/configuration_codec.h"
#include "LibConfiguration/intent_text.h"
#include "LibCore/bounded_json.h"
#include "LibCore/digest.h"
#include "LibCore/result_code.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace spindle {

using nlohmann::json;

static constexpr std::string_view HeadName = "head";
/// Maximum number of attempts of a write that failed or whose response was
/// lost, and the delay between them.
static constexpr int MaxWriteAttempts = 6;
static constexpr milliseconds RetryDelay{500};

static std::string digestOf(const json &Value) {
  return sha256Hex(Value.at("baseVersion").dump() + Value.at("nonce").dump() +
                   Value.at("changes").dump() + Value.at("intent").dump());
}

std::string writePlan(const configuration_plan &Plan) {
  json Changes = json::array();
  for (const intent_change &Change : Plan.Changes)
    Changes.push_back(describeChange(Change));
  json Value = {{"baseVersion", Plan.BaseVersion},
                {"nonce", Plan.Nonce},
                {"changes", Changes},
                {"intent", json::parse(writeIntent(Plan.Intent))}};
  Value["digest"] = digestOf(Value);
  return Value.dump(2) + "\n";
}

configuration_plan readPlan(std::string_view Text, std::string_view FileName) {
  try {
    const json Value = parseBoundedJson(Text);
    if (Value.at("digest").get<std::string>() != digestOf(Value))
      throw spindle_error(result_code::InvalidIntent,
                          std::string(FileName) +
                              ": the plan was changed after it was written");
    configuration_plan Plan;
    Plan.BaseVersion = Value.at("baseVersion").get<std::uint64_t>();
    Plan.Nonce = Value.at("nonce").get<std::string>();
    Plan.Intent = parseIntent(Value.at("intent").dump(), FileName);
    return Plan;
  } catch (const json::exception &Error) {
    throw spindle_error(result_code::InvalidIntent,
                        std::string(FileName) +
                            ": not a plan: " + Error.what());
  }
}

std::string readPart(const platform_port &Platform, const std::string &Digest) {
  const std::optional<platform_object> Object =
      Platform.Get(platform_kind::ConfigurationParts, Digest);
  if (!Object)
    throw spindle_error(result_code::ConfigurationCorrupt,
                        "part " + Digest + " is missing");
  std::string Text = readPartBody(Object->Body);
  checkPart(Digest, Text);
  return Text;
}

std::optional<std::pair<configuration_head, std::uint64_t>>
readConfigurationHead(const platform_port &Platform) {
  const std::optional<platform_object> Object =
      Platform.Get(platform_kind::ConfigurationHeads, HeadName);
  if (!Object)
    return std::nullopt;
  return std::pair(readHead(Object->Body), Object->Version);
}

std::optional<stored_configuration>
readConfiguration(const platform_port &Platform) {
  const auto Head = readConfigurationHead(Platform);
  if (!Head)
    return std::nullopt;
  const part_source Source = [&Platform](const std::string &Digest) {
    return readPart(Platform, Digest);
  };
  return stored_configuration{Head->first, Head->second,
                              decodeIntent(Head->first.Index, Source)};
}

configuration_plan makePlan(const std::optional<stored_configuration> &Stored,
                            intent Intent, std::string Nonce) {
  configuration_plan Plan;
  Plan.BaseVersion = Stored ? Stored->Head.Version : 0;
  Plan.Nonce = std::move(Nonce);
  Plan.Changes = compareIntents(Stored ? Stored->Intent : intent{}, Intent);
  Plan.Intent = std::move(Intent);
  return Plan;
}

/// Creates a part unless it exists.
static void writePart(const platform_port &Platform, const std::string &Digest,
                      const std::string &Text,
                      const plan_confirmation &Confirmation) {
  for (int Attempt = 1;; ++Attempt) {
    try {
      Platform.Create(platform_kind::ConfigurationParts, Digest,
                      writePartBody(Text));
      return;
    } catch (const spindle_error &Error) {
      // The part exists, and its name is the digest of its content.
      if (Error.code() == result_code::PlatformConflict)
        return;
      if (Attempt == MaxWriteAttempts)
        throw;
    }
    Confirmation.Sleep(RetryDelay);
  }
}

/// Writes an audit page or a list of changes and returns its digest.
static std::string writeExtraPart(const platform_port &Platform,
                                  const std::string &Text,
                                  const plan_confirmation &Confirmation) {
  std::string Digest = sha256Hex(Text);
  writePart(Platform, Digest, Text, Confirmation);
  return Digest;
}

static void addAudit(const platform_port &Platform, configuration_head &Head,
                     audit_entry Entry, const plan_confirmation &Confirmation) {
  if (Head.Audit.size() >= AuditEntriesInHead) {
    const auto Middle = Head.Audit.begin() + AuditEntriesInHead / 2;
    audit_page Page;
    Page.Entries.assign(Head.Audit.begin(), Middle);
    Page.Older = Head.OlderAudit;
    Head.OlderAudit =
        writeExtraPart(Platform, writeAuditPage(Page), Confirmation);
    Head.Audit.erase(Head.Audit.begin(), Middle);
  }
  Head.Audit.push_back(std::move(Entry));
}

static std::string listChanges(const std::vector<intent_change> &Changes) {
  /// Leaves room for the JSON encoding of the part.
  static constexpr std::size_t Limit = PlatformValueLimitBytes / 2;
  std::string Text;
  for (const intent_change &Change : Changes) {
    const std::string Line = describeChange(Change) + "\n";
    if (Text.size() + Line.size() > Limit)
      return Text + "and more\n";
    Text += Line;
  }
  return Text;
}

/// Returns whether \p Head is the head that the plan wrote, or a later one.
static bool isInForce(const configuration_head &Head,
                      const configuration_plan &Plan) {
  return std::any_of(
      Head.Audit.begin(), Head.Audit.end(),
      [&Plan](const audit_entry &Entry) { return Entry.Nonce == Plan.Nonce; });
}

[[noreturn]] static void rejectOutdated(const configuration_head &Head,
                                        const configuration_plan &Plan) {
  std::string Message = "the plan is based on version " +
                        std::to_string(Plan.BaseVersion) + ", but version " +
                        std::to_string(Head.Version) + " is in force";
  for (const audit_entry &Entry : Head.Audit)
    if (Entry.Version > Plan.BaseVersion)
      Message += "\n  version " + std::to_string(Entry.Version) + " by " +
                 Entry.Operator + ": " + Entry.Summary;
  throw spindle_error(result_code::PlanOutdated, Message);
}

using found_head = std::optional<std::pair<configuration_head, std::uint64_t>>;

/// Throws PlanOutdated unless the plan is based on the head that was read.
static void requireCurrent(const found_head &Found,
                           const configuration_plan &Plan) {
  const std::uint64_t InForce = Found ? Found->first.Version : 0;
  if (InForce != Plan.BaseVersion)
    rejectOutdated(Found ? Found->first : configuration_head{}, Plan);
}

static configuration_head buildHead(const platform_port &Platform,
                                    const found_head &Found,
                                    const configuration_plan &Plan,
                                    const plan_confirmation &Confirmation) {
  const encoded_intent Encoded = encodeIntent(Plan.Intent);
  for (const auto &[Digest, Text] : Encoded.Parts)
    writePart(Platform, Digest, Text, Confirmation);
  const intent Before =
      Found ? readConfiguration(Platform).value().Intent : intent{};
  const std::vector<intent_change> Changes =
      compareIntents(Before, Plan.Intent);
  configuration_head Head = Found ? Found->first : configuration_head{};
  Head.Version = Plan.BaseVersion + 1;
  Head.Nonce = Plan.Nonce;
  Head.Index = Encoded.Index;
  addAudit(Platform, Head,
           {Head.Version, Plan.Nonce, Confirmation.Operator, Confirmation.At,
            summarizeChanges(Changes),
            writeExtraPart(Platform, listChanges(Changes), Confirmation)},
           Confirmation);
  return Head;
}

static void writeHeadObject(const platform_port &Platform,
                            const found_head &Found,
                            const configuration_head &Head) {
  const std::string Body = writeHead(Head);
  if (Found)
    Platform.Update(platform_kind::ConfigurationHeads, HeadName, Found->second,
                    Body);
  else
    Platform.Create(platform_kind::ConfigurationHeads, HeadName, Body);
}

configuration_head confirmPlan(const platform_port &Platform,
                               const configuration_plan &Plan,
                               const plan_confirmation &Confirmation) {
  for (int Attempt = 1;; ++Attempt) {
    try {
      const found_head Found = readConfigurationHead(Platform);
      if (Found && isInForce(Found->first, Plan))
        return Found->first;
      requireCurrent(Found, Plan);
      configuration_head Head = buildHead(Platform, Found, Plan, Confirmation);
      writeHeadObject(Platform, Found, Head);
      return Head;
    } catch (const spindle_error &Error) {
      // Another write came first, or the response was lost. Reading the head
      // again shows whether this plan took effect.
      const bool IsRetryable =
          Error.code() == result_code::PlatformConflict ||
          Error.code() == result_code::PlatformUnavailable ||
          Error.code() == result_code::PlatformRateLimited;
      if (!IsRetryable || Attempt == MaxWriteAttempts)
        throw;
    }
    Confirmation.Sleep(RetryDelay);
  }
}

std::vector<audit_entry> readAudit(const platform_port &Platform,
                                   std::size_t Limit) {
  std::vector<audit_entry> Entries;
  const found_head Found = readConfigurationHead(Platform);
  if (!Found)
    return Entries;
  audit_page Page{Found->first.Audit, Found->first.OlderAudit};
  while (true) {
    for (auto Entry = Page.Entries.rbegin(); Entry != Page.Entries.rend();
         ++Entry) {
      if (Entries.size() == Limit)
        return Entries;
      Entries.push_back(*Entry);
    }
    if (Page.Older.empty())
      return Entries;
    Page = readAuditPage(readPart(Platform, Page.Older));
  }
}

} // namespace spindle
