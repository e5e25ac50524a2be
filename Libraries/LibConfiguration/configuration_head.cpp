#include "LibConfiguration/configuration_head.h"

#include "LibCore/bounded_json.h"
#include "LibCore/result_code.h"

#include <nlohmann/json.hpp>

namespace spindle {

using nlohmann::json;

static json toJson(const audit_entry &Entry) {
  return {{"version", Entry.Version},   {"nonce", Entry.Nonce},
          {"operator", Entry.Operator}, {"atMs", Entry.At.Milliseconds},
          {"summary", Entry.Summary},   {"changes", Entry.Changes}};
}

static audit_entry readEntry(const json &Value) {
  audit_entry Entry;
  Entry.Version = Value.at("version").get<std::uint64_t>();
  Entry.Nonce = Value.at("nonce").get<std::string>();
  Entry.Operator = Value.at("operator").get<std::string>();
  Entry.At = {Value.at("atMs").get<std::int64_t>()};
  Entry.Summary = Value.at("summary").get<std::string>();
  Entry.Changes = Value.at("changes").get<std::string>();
  return Entry;
}

static json toJson(const std::vector<audit_entry> &Entries) {
  json List = json::array();
  for (const audit_entry &Entry : Entries)
    List.push_back(toJson(Entry));
  return List;
}

static std::vector<audit_entry> readEntries(const json &List) {
  std::vector<audit_entry> Entries;
  for (const json &Value : List)
    Entries.push_back(readEntry(Value));
  return Entries;
}

[[noreturn]] static void rejectCorrupt(std::string_view What,
                                       std::string_view Why) {
  throw spindle_error(result_code::ConfigurationCorrupt,
                      std::string(What) + ": " + std::string(Why));
}

std::string writeHead(const configuration_head &Head) {
  return json{{"version", Head.Version},
              {"nonce", Head.Nonce},
              {"index", Head.Index},
              {"audit", toJson(Head.Audit)},
              {"olderAudit", Head.OlderAudit}}
      .dump();
}

configuration_head readHead(std::string_view Text) {
  try {
    const json Value = parseBoundedJson(Text);
    configuration_head Head;
    Head.Version = Value.at("version").get<std::uint64_t>();
    Head.Nonce = Value.at("nonce").get<std::string>();
    Head.Index = Value.at("index").get<std::string>();
    Head.Audit = readEntries(Value.at("audit"));
    Head.OlderAudit = Value.at("olderAudit").get<std::string>();
    return Head;
  } catch (const json::exception &Error) {
    rejectCorrupt("configuration head", Error.what());
  }
}

std::string writeAuditPage(const audit_page &Page) {
  return json{{"audit", toJson(Page.Entries)}, {"older", Page.Older}}.dump();
}

audit_page readAuditPage(std::string_view Text) {
  try {
    const json Value = parseBoundedJson(Text);
    return {readEntries(Value.at("audit")),
            Value.at("older").get<std::string>()};
  } catch (const json::exception &Error) {
    rejectCorrupt("audit page", Error.what());
  }
}

} // namespace spindle
