#include "LibMembership/lease_record.h"

#include "LibCore/bounded_json.h"
#include "LibCore/result_code.h"
#include "LibPlatform/platform_port.h"

#include <nlohmann/json.hpp>

namespace spindle {

using nlohmann::json;

std::string leaseKind(std::string_view Zone) {
  return std::string(platform_kind::HostLeases) + "-" + std::string(Zone);
}

std::string writeLease(const lease_record &Record) {
  return json{{"zone", Record.Zone},
              {"link", toText(Record.Link)},
              {"boot", Record.Boot},
              {"incarnation", Record.Incarnation},
              {"endedIncarnation", Record.EndedIncarnation},
              {"renewals", Record.Renewals},
              {"leaseTerm", Record.LeaseTerm},
              {"shareTerm", Record.ShareTerm},
              {"nonce", Record.Nonce},
              {"configurationVersion", Record.ConfigurationVersion},
              {"draining", Record.Draining},
              {"drainRequested", Record.DrainRequested},
              {"stopped", Record.Stopped},
              {"renewedAtMs", Record.RenewedAt.Milliseconds}}
      .dump();
}

lease_record readLease(std::string_view Text) {
  try {
    const json Value = parseBoundedJson(Text);
    lease_record Record;
    Record.Zone = Value.at("zone").get<std::string>();
    Record.Link = parseEndpoint(Value.at("link").get<std::string>());
    Record.Boot = Value.at("boot").get<std::string>();
    Record.Incarnation = Value.at("incarnation").get<std::uint64_t>();
    Record.EndedIncarnation = Value.at("endedIncarnation").get<std::uint64_t>();
    Record.Renewals = Value.at("renewals").get<std::uint64_t>();
    Record.LeaseTerm = Value.at("leaseTerm").get<std::uint64_t>();
    Record.ShareTerm = Value.at("shareTerm").get<std::uint64_t>();
    Record.Nonce = Value.at("nonce").get<std::string>();
    Record.ConfigurationVersion =
        Value.at("configurationVersion").get<std::uint64_t>();
    Record.Draining = Value.at("draining").get<bool>();
    Record.DrainRequested = Value.at("drainRequested").get<bool>();
    Record.Stopped = Value.at("stopped").get<bool>();
    Record.RenewedAt = {Value.at("renewedAtMs").get<std::int64_t>()};
    return Record;
  } catch (const json::exception &Error) {
    throw spindle_error(result_code::Internal,
                        std::string("host lease: ") + Error.what());
  }
}

} // namespace spindle
