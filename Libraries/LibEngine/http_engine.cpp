#include "LibEngine/http_engine.h"

#include "LibCore/bounded_json.h"
#include "LibCore/result_code.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace spindle {

using nlohmann::json;

static constexpr std::size_t ReportLimitBytes = 4 << 20;
static constexpr int StatusConflict = 409;

static http_call_limits limitsOf(milliseconds Limit) {
  http_call_limits Limits;
  Limits.Connect = std::min(Limits.Connect, Limit);
  Limits.FirstByte = Limit;
  Limits.BetweenBytes = Limit;
  return Limits;
}

/// Sends an order to load or unload an adapter.
static void order(http_client &Client, const endpoint &Engine,
                  std::string_view Target, std::string_view Adapter,
                  std::uint64_t Fence, milliseconds Limit) {
  const json Body{{"lora_name", Adapter}, {"fence", Fence}};
  const http_request_head Request{
      "POST", std::string(Target), {{"Content-Type", "application/json"}}};
  const http_response Response =
      Client.call(Engine, Request, Body.dump(), limitsOf(Limit),
                  connection_use::FreshOnce, ReportLimitBytes);
  if (Response.Head.Status == 200)
    return;
  const std::string Reason = Response.Head.Status == StatusConflict
                                 ? "the fencing number is old"
                                 : Response.Body.substr(0, 200);
  throw spindle_error(result_code::AdapterLoadFailed,
                      std::string(Target) + " of " + std::string(Adapter) +
                          " at " + toText(Engine) + " answered " +
                          std::to_string(Response.Head.Status) + ": " + Reason);
}

/// Sends a query and returns the response's document.
static json query(http_client &Client, const endpoint &Engine,
                  std::string Target, milliseconds Limit) {
  const http_response Response =
      Client.call(Engine, {"GET", Target, {}}, "", limitsOf(Limit),
                  connection_use::PooledIdempotent, ReportLimitBytes);
  if (Response.Head.Status != 200)
    throw spindle_error(result_code::UpstreamLost,
                        Target + " at " + toText(Engine) + " answered " +
                            std::to_string(Response.Head.Status));
  return parseBoundedJson(Response.Body);
}

static engine_report readReport(const json &Body) {
  engine_report Report;
  Report.Incarnation = Body.at("incarnation").get<std::uint64_t>();
  Report.Loaded = Body.at("loaded").get<std::vector<std::string>>();
  Report.Loading = Body.value("loading", std::vector<std::string>());
  Report.Slots = Body.value("slots", 0U);
  Report.BatchSize = Body.value("batch_size", 0U);
  Report.Running = Body.value("running", 0U);
  Report.Waiting = Body.value("waiting", 0U);
  Report.Fence = Body.value("fence", std::uint64_t{0});
  Report.Age = milliseconds(Body.value("age_ms", std::int64_t{0}));
  return Report;
}

static std::vector<engine_cache_event> readEvents(const json &Body) {
  std::vector<engine_cache_event> Events;
  for (const json &Entry : Body.at("events"))
    Events.push_back({Entry.at("sequence").get<std::uint64_t>(),
                      Entry.at("prefix_hash").get<std::uint64_t>(),
                      Entry.at("stored").get<bool>()});
  return Events;
}

/// Reads an answer; one that can't be read counts as lost.
template <typename reader>
static auto readAnswer(const endpoint &Engine, const reader &Reader) {
  try {
    return Reader();
  } catch (const json::exception &Error) {
    throw spindle_error(result_code::UpstreamLost,
                        "the answer of " + toText(Engine) +
                            " can't be read: " + Error.what());
  }
}

engine_port makeHttpEngine(http_client &Client) {
  engine_port Port;
  Port.Load = [&Client](const endpoint &Engine, std::string_view Adapter,
                        std::uint64_t Fence, milliseconds Limit) {
    order(Client, Engine, "/v1/load_lora_adapter", Adapter, Fence, Limit);
  };
  Port.Unload = [&Client](const endpoint &Engine, std::string_view Adapter,
                          std::uint64_t Fence, milliseconds Limit) {
    order(Client, Engine, "/v1/unload_lora_adapter", Adapter, Fence, Limit);
  };
  Port.Report = [&Client](const endpoint &Engine, milliseconds Limit) {
    return readAnswer(Engine, [&] {
      return readReport(query(Client, Engine, "/load", Limit));
    });
  };
  Port.CacheEvents = [&Client](const endpoint &Engine, std::uint64_t Sequence,
                               milliseconds Limit) {
    return readAnswer(Engine, [&] {
      return readEvents(query(Client, Engine,
                              "/cache_events?since=" + std::to_string(Sequence),
                              Limit));
    });
  };
  return Port;
}

} // namespace spindle
