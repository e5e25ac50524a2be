#include "closed_loop.h"

#include "LibCore/result_code.h"
#include "LibHTTP/http_client.h"
#include "LibRuntime/completion.h"

#include <array>
#include <atomic>
#include <cstdio>
#include <memory>
#include <vector>

namespace spindle {

static constexpr std::size_t MostAnswerBytes = 64U << 20U;

static std::uint64_t countEvents(std::string_view Body) {
  std::uint64_t Count = 0;
  for (std::size_t Place = Body.find("data:"); Place != std::string_view::npos;
       Place = Body.find("data:", Place + 5))
    ++Count;
  return Count;
}

static closed_loop_result runConnection(const runtime_clock &Clock,
                                        http_client &Http,
                                        const closed_loop_settings &Settings,
                                        std::atomic<std::int64_t> &Left) {
  closed_loop_result Result;
  http_request_head Request{Settings.Method, Settings.Path, {}};
  Request.Fields.push_back({"Content-Type", "application/json"});
  if (!Settings.Key.empty())
    Request.Fields.push_back({"Authorization", "Bearer " + Settings.Key});
  while (Left.fetch_sub(1) > 0) {
    const time_point Sent = Clock.now();
    try {
      const http_response Response =
          Http.call(Settings.Target, Request, Settings.Body, {},
                    connection_use::PooledIdempotent, MostAnswerBytes);
      Result.Failed += Response.Head.Status == 200 ? 0 : 1;
      Result.Events += countEvents(Response.Body);
    } catch (const spindle_error &) {
      ++Result.Failed;
    }
    Result.Latency.record(Clock.now() - Sent);
  }
  return Result;
}

closed_loop_result runClosedLoop(fiber_runtime &Runtime,
                                 const closed_loop_settings &Settings) {
  const runtime_clock Clock;
  http_client Http;
  std::atomic<std::int64_t> Left{static_cast<std::int64_t>(Settings.Requests)};
  std::vector<completion<closed_loop_result>> Ends(Settings.Connections);
  const time_point Start = Clock.now();
  for (completion<closed_loop_result> &End : Ends)
    Runtime.spawn([&, Deliver = End.deliverer()] {
      Deliver(runConnection(Clock, Http, Settings, Left));
    });
  closed_loop_result Result;
  for (completion<closed_loop_result> &End : Ends) {
    const closed_loop_result One = End.wait();
    Result.Latency.merge(One.Latency);
    Result.Failed += One.Failed;
    Result.Events += One.Events;
  }
  Result.Seconds = std::chrono::duration<double>(Clock.now() - Start).count();
  return Result;
}

std::string describeResult(const closed_loop_settings &Settings,
                           const closed_loop_result &Result) {
  std::array<char, 256> Line{};
  const double PerSecond =
      static_cast<double>(Result.Latency.count()) / Result.Seconds;
  std::snprintf(Line.data(), Line.size(),
                "| %u | %zu | %llu | %.3f | %.3f | %.3f | %.0f | %.0f |",
                Settings.Connections, Result.Latency.count(),
                static_cast<unsigned long long>(Result.Failed),
                Result.Latency.leastMs(), Result.Latency.percentileMs(0.5),
                Result.Latency.percentileMs(0.99), PerSecond,
                static_cast<double>(Result.Events) / Result.Seconds);
  return Line.data();
}

} // namespace spindle
