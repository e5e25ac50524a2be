// The cost of reading requests and answers, and the throughput of the stand-ins
// over loopback, callers included.

#include "LibEngine/answer_verifier.h"
#include "LibEngine/completion_request.h"
#include "LibHTTP/http_client.h"
#include "LibRuntime/completion.h"
#include "engine_stand_in/engine_server.h"
#include "service_stand_in/service_server.h"

#include <array>
#include <memory>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>

using namespace spindle;

static constexpr std::size_t ThreadsPerSide = 2;

static std::string streamOf(int Events) {
  std::string Text;
  for (int Event = 0; Event < Events; ++Event)
    Text += R"(data: {"id":"cmpl-1","object":"text_completion","created":0,)"
            R"("model":"lid@3","choices":[{"index":0,"text":" 12ab34c",)"
            R"("finish_reason":null}]})"
            "\n\n";
  return Text;
}

static void verifyEvents(benchmark::State &State) {
  const std::string Text = streamOf(1'000);
  static constexpr std::size_t PartBytes = 1'400;
  for (auto Turn : State) {
    answer_verifier Verifier("lid@3");
    event_stream_reader Reader;
    stream_event Event;
    for (std::size_t At = 0; At < Text.size(); At += PartBytes) {
      Reader.feed(std::string_view(Text).substr(At, PartBytes));
      while (Reader.next(Event))
        Verifier.accept(Event);
    }
    benchmark::DoNotOptimize(Verifier.completionTokens());
  }
  State.SetItemsProcessed(State.iterations() * 1'000);
}
BENCHMARK(verifyEvents)->Unit(benchmark::kMicrosecond);

static void parseRequest(benchmark::State &State) {
  const std::string Body =
      R"({"model":"lid@3","max_tokens":64,"stream":true,"prompt":")" +
      std::string(static_cast<std::size_t>(State.range(0)), 'p') + "\"}";
  for (auto Turn : State)
    benchmark::DoNotOptimize(
        parseCompletionRequest(completion_endpoint::Completions, Body));
}
BENCHMARK(parseRequest)->Arg(256)->Arg(4'096)->Arg(65'536);

/// Runs \p Work in State.range(0) fibers until \p Rounds rounds are done.
static void runCallers(benchmark::State &State, fiber_runtime &Runtime,
                       int Rounds, const std::function<void()> &Work) {
  const std::int64_t Callers = State.range(0);
  std::vector<completion<bool>> Done(static_cast<std::size_t>(Callers));
  for (completion<bool> &Caller : Done)
    Runtime.spawn([&Work, Rounds, Deliver = Caller.deliverer()] {
      for (int Round = 0; Round < Rounds; ++Round)
        Work();
      Deliver(true);
    });
  for (completion<bool> &Caller : Done)
    Caller.wait();
}

static void callService(benchmark::State &State) {
  static constexpr int Rounds = 200;
  fiber_runtime Serving(ThreadsPerSide);
  fiber_runtime Calling(ThreadsPerSide);
  service_server Stand({});
  http_client Client;
  const http_server Server(
      Serving, {"127.0.0.1", 0}, {},
      [&Stand](http_exchange &Exchange) { Stand.handle(Exchange); },
      writeErrorResponse);
  const endpoint Address = Server.address();
  for (auto Turn : State)
    runCallers(State, Calling, Rounds, [&Client, &Address] {
      Client.call(Address, {"GET", "/stock/1", {}}, "", {},
                  connection_use::PooledIdempotent, 65'536);
    });
  State.SetItemsProcessed(State.iterations() * State.range(0) * Rounds);
}
BENCHMARK(callService)
    ->Arg(1)
    ->Arg(16)
    ->Arg(64)
    ->UseRealTime()
    ->Unit(benchmark::kMillisecond);

static void readEvents(http_client &Client, const endpoint &Address) {
  static constexpr std::string_view Body =
      R"({"model":"base","prompt":"p","max_tokens":1000,"stream":true})";
  const std::unique_ptr<http_call> Call =
      Client.start(Address, {"POST", "/v1/completions", {}}, Body, {},
                   connection_use::PooledIdempotent);
  answer_verifier Verifier("base");
  event_stream_reader Reader;
  stream_event Event;
  std::vector<char> Part(16'384);
  while (const std::size_t Size = Call->readSome(Part)) {
    Reader.feed({Part.data(), Size});
    while (Reader.next(Event))
      Verifier.accept(Event);
  }
  Verifier.finish();
}

static void streamFromEngine(benchmark::State &State) {
  static constexpr int Rounds = 5;
  fiber_runtime Serving(ThreadsPerSide);
  fiber_runtime Calling(ThreadsPerSide);
  engine_server_settings Settings;
  Settings.Unbatched = true;
  engine_server Stand(Serving, Settings);
  http_client Client;
  const http_server Server(
      Serving, {"127.0.0.1", 0}, {},
      [&Stand](http_exchange &Exchange) { Stand.handle(Exchange); },
      writeErrorResponse);
  const endpoint Address = Server.address();
  for (auto Turn : State)
    runCallers(State, Calling, Rounds,
               [&Client, &Address] { readEvents(Client, Address); });
  State.SetItemsProcessed(State.iterations() * State.range(0) * Rounds * 1'000);
}
BENCHMARK(streamFromEngine)
    ->Arg(1)
    ->Arg(16)
    ->Arg(64)
    ->UseRealTime()
    ->Unit(benchmark::kMillisecond);

BENCHMARK_MAIN();
