#ifndef REVIEW_STANDINS_3_MODEL_ENGINE_H
#define REVIEW_STANDINS_3_MODEL_ENGINE_H

#include "platform.h"

#include <set>

namespace review {

/// The answer to a request that expects another instance. It echoes the
/// request's id, if there is one: orders and reports have none.
std::string makeMisdirected(const http_message &Request, const std::string &Id);
std::int64_t unixMilliseconds();

struct engine_traits {
  std::string Service = "llm";
  std::string Zone = "gent-a";
  std::size_t Slots = 64;
  /// Memory for weights, and the weights of each model.
  double WeightsMegabytes = 66'500;
  std::map<std::string, double> ModelMegabytes;
  milliseconds ModelLoadTime{760};
  std::size_t AdapterSlots = 7;
  milliseconds AdapterLoadTime{250};
  int Events = 10;
  milliseconds EventPause{30};
};

/// A model engine as PROTOCOL.md describes it. It beats at the store, takes
/// orders, and answers requests with streams of events. Thread-safe.
class model_engine {
public:
  model_engine(case_record &Record, object_store &Store, std::string Id,
               engine_traits Traits, std::set<std::string> Models);
  ~model_engine();

  std::set<std::string> models();
  /// How often each request began to run here, by its id.
  std::map<std::string, int> runs();
  /// Whether an order would have loaded more than the engine holds.
  bool wasOverfilled() const { return Overfilled.load(); }

private:
  struct loaded_adapter {
    std::uint64_t Version = 1;
    steady::time_point ReadyAt;
  };
  using adapter_key = std::pair<std::string, std::string>;

  bool serve(stream_socket &Socket, http_message &Request);
  int carryOut(const json &Order);
  int loadModel(const std::string &Model);
  int loadAdapter(const adapter_key &Key, std::uint64_t Version);
  int unloadAdapter(const adapter_key &Key);
  bool run(stream_socket &Socket, const http_message &Request);
  bool streamEvents(stream_socket &Socket, const http_message &Request);
  json modelList();
  json registration();
  json report();
  void beat();

  case_record &Record;
  object_store &Store;
  const engine_traits Traits;
  const std::string Id;
  const std::int64_t Born;
  std::mutex Mutex;
  std::set<std::string> Models;
  std::string LoadingModel;
  steady::time_point LoadedAt;
  std::map<adapter_key, loaded_adapter> Adapters;
  std::map<adapter_key, int> InUse;
  std::uint64_t Sequence = 0;
  std::uint64_t HighestFence = 0;
  std::size_t Active = 0;
  std::map<std::string, int> Runs;
  std::atomic<bool> Overfilled{false};
  std::atomic<bool> Stopping{false};
  std::thread Beats;
  tcp_server Server;
};

} // namespace review

#endif // REVIEW_STANDINS_3_MODEL_ENGINE_H
