#include "stand_in_control.h"

#include "LibCore/result_code.h"
#include "call_limits.h"

#include <csignal>
#include <cstdio>
#include <optional>

#include <nlohmann/json.hpp>

namespace spindle {

using nlohmann::json;

static const http_call_limits ControlLimits = makeCallLimits(
    milliseconds(1'000), milliseconds(5'000), milliseconds(5'000));
static constexpr std::size_t MostRecordBytes = 64U << 20U;

static std::optional<std::string> callControl(http_client &Http,
                                              const load_target &Target,
                                              const http_request_head &Request,
                                              std::string_view Body) {
  try {
    http_response Response =
        Http.call(Target.Address, Request, Body, ControlLimits,
                  connection_use::FreshOnce, MostRecordBytes);
    if (Response.Head.Status == 200)
      return std::move(Response.Body);
  } catch (const spindle_error &) {
    // A stand-in that is down answers nothing.
  }
  return std::nullopt;
}

void applyEvent(http_client &Http, const load_targets &Targets,
                const load_event &Event) {
  const load_target *const Target = findTarget(Targets, Event.Target);
  if (Target == nullptr) {
    std::fprintf(stderr, "no target %s\n", Event.Target.c_str());
    return;
  }
  if (Event.Control.empty()) {
    if (Target->ProcessId <= 1 || kill(Target->ProcessId, SIGTERM) != 0)
      std::fprintf(stderr, "cannot stop %s\n", Event.Target.c_str());
    return;
  }
  const http_request_head Request{
      "PUT", "/control", {{"Content-Type", "application/json"}}};
  if (!callControl(Http, *Target, Request, Event.Control))
    std::fprintf(stderr, "%s refused its switches\n", Event.Target.c_str());
}

static double numberOf(const json &Record, const char *Name) {
  const auto Found = Record.find(Name);
  if (Found == Record.end())
    return 0;
  if (Found->is_array())
    return static_cast<double>(Found->size());
  return Found->is_number() ? Found->get<double>() : 0;
}

engine_work readEngineWork(http_client &Http, const load_targets &Targets) {
  engine_work Work;
  for (const load_target &Engine : Targets.Engines) {
    const std::optional<std::string> Body =
        callControl(Http, Engine, {"GET", "/control/record", {}}, "");
    if (!Body)
      continue;
    const json Record = json::parse(*Body, nullptr, false);
    if (!Record.is_object())
      continue;
    Work.Steps += numberOf(Record, "steps");
    Work.Tokens += numberOf(Record, "tokens");
    Work.Loads += numberOf(Record, "loads");
    Work.Unloads += numberOf(Record, "unloads");
    Work.EvictedInUse += numberOf(Record, "evicted_in_use");
    Work.Restarts += numberOf(Record, "restarts");
  }
  return Work;
}

engine_work workBetween(const engine_work &Before, const engine_work &After) {
  return {After.Steps - Before.Steps,
          After.Tokens - Before.Tokens,
          After.Loads - Before.Loads,
          After.Unloads - Before.Unloads,
          After.EvictedInUse - Before.EvictedInUse,
          After.Restarts - Before.Restarts};
}

/// Effects of each order key, over all services.
static std::map<std::string, std::uint64_t>
readEffects(http_client &Http, const load_targets &Targets) {
  std::map<std::string, std::uint64_t> Effects;
  for (const load_target &Service : Targets.Services) {
    const std::optional<std::string> Body =
        callControl(Http, Service, {"GET", "/control/orders", {}}, "");
    if (!Body)
      continue;
    const json Orders = json::parse(*Body, nullptr, false);
    if (!Orders.is_object())
      continue;
    for (const auto &[Key, Count] : Orders.items())
      if (Count.is_number_unsigned())
        Effects[Key] += Count.get<std::uint64_t>();
  }
  return Effects;
}

order_audit auditOrders(http_client &Http, const load_targets &Targets,
                        const std::string &RunName,
                        std::span<const load_record> Records) {
  order_audit Audit;
  std::map<std::string, std::uint64_t> Effects = readEffects(Http, Targets);
  for (const load_record &Record : Records) {
    if (Record.Request.Kind != load_kind::Order)
      continue;
    const std::uint64_t Count =
        Effects[RunName + "-order-" + std::to_string(Record.Request.Number)];
    ++Audit.Sent;
    Audit.Run += Count > 0 ? 1 : 0;
    Audit.Doubled += Count > 1 ? 1 : 0;
    const bool NotRun =
        Record.State == "not run" && Record.Outcome == load_outcome::Refused;
    Audit.FalseNotRun += NotRun && Count > 0 ? 1 : 0;
    Audit.FalseWhole +=
        Record.Outcome == load_outcome::Whole && Count == 0 ? 1 : 0;
  }
  return Audit;
}

} // namespace spindle
