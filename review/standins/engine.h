#ifndef PARSLEYSPINDLE_REVIEW_STANDINS_ENGINE_H
#define PARSLEYSPINDLE_REVIEW_STANDINS_ENGINE_H

// A model engine as the platform's page describes it: it registers itself,
// reports, takes orders, and answers with event streams.

#include "hosts.h"
#include "store.h"

#include <deque>

namespace review {

struct engine_settings {
  std::string Name;
  std::string Service;
  std::string Zone;
  std::set<std::string> Models;
  /// By "MODEL/ADAPTER", with versions.
  std::map<std::string, std::uint64_t> Adapters;
  std::size_t AdapterSlots = 6;
  double Megabytes = 66'000;
  std::map<std::string, double> ModelMegabytes;
  double AdapterMegabytes = 12;
  milliseconds ModelLoadTime{1'900};
  milliseconds AdapterLoadTime{250};
  /// Of an adapter that the engine has held recently.
  milliseconds AdapterReloadTime{25};
  milliseconds Heartbeat{1'200};
  milliseconds ReportLag{200};
  bool RequiresFence = true;
  int Events = 10;
  milliseconds EventPause{20};
  /// From the start of a run to the head of its answer.
  milliseconds HeadPause{0};
};

/// What the engine has seen of an order.
struct seen_order {
  steady::time_point At;
  std::string Holder;
  std::uint64_t Fence = 0;
  int Status = 0;
};

class engine {
public:
  engine(engine_settings Settings, store &Store)
      : Settings(std::move(Settings)), Store(Store),
        Server([this](connection &Peer, message &Request) {
          return serve(Peer, Request);
        }) {
    Models = this->Settings.Models;
    for (const auto &[Name, Version] : this->Settings.Adapters)
      Adapters[Name] = {Version, 0};
    std::thread([this] { heartbeat(); }).detach();
    std::thread([this] { snapshot(); }).detach();
  }

  const std::string &name() const { return Settings.Name; }
  std::uint16_t port() const { return Server.port(); }

  /// Runs by request id; each counts when the engine began to work on it.
  std::map<std::string, int> runs() const {
    const std::lock_guard<std::mutex> Lock(Mutex);
    return Runs;
  }
  std::vector<seen_order> orders() const {
    const std::lock_guard<std::mutex> Lock(Mutex);
    return Orders;
  }
  /// Why the engine crashed on an order; empty if it did not.
  std::string crash() const {
    const std::lock_guard<std::mutex> Lock(Mutex);
    return Crash;
  }
  std::map<std::string, std::uint64_t> adapters() const {
    const std::lock_guard<std::mutex> Lock(Mutex);
    std::map<std::string, std::uint64_t> Result;
    for (const auto &[Name, Held] : Adapters)
      Result[Name] = Held.Version;
    return Result;
  }
  std::set<std::string> models() const {
    const std::lock_guard<std::mutex> Lock(Mutex);
    return Models;
  }

  /// Reports to the store that it is draining; it serves on until stop().
  void drain() {
    std::string Text;
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      IsDraining = true;
      Text = registration();
    }
    Store.put("servers", Settings.Name, Text);
    DrainedAt = steady::now();
    record("engine %s is draining, the store has acknowledged it",
           Settings.Name.c_str());
  }
  /// When the store acknowledged that it is draining.
  std::optional<steady::time_point> drainedAt() const { return DrainedAt; }
  /// Removes the registration and serves nobody any more.
  void stop() {
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      Gone = true;
    }
    Store.erase("servers", Settings.Name);
    record("engine %s has left", Settings.Name.c_str());
  }
  /// When requests reached it, those that got a 421 left out.
  std::vector<steady::time_point> arrivals() const {
    const std::lock_guard<std::mutex> Lock(Mutex);
    return Arrivals;
  }

  /// Whether a copy of the 421 that was just sent comes late, where the next
  /// answer on that connection is expected.
  std::function<bool()> RepeatsRefusal;
  std::atomic<int> Answers{0};
  std::atomic<int> Extras{0};
  /// Whether heartbeats reach the store.
  std::atomic<bool> ReachesStore{true};

private:
  struct held_adapter {
    std::uint64_t Version = 0;
    int Running = 0;
  };

  std::string modelsText() const {
    nlohmann::json List = nlohmann::json::array();
    for (const std::string &Model : Models) {
      nlohmann::json Names = nlohmann::json::array();
      for (const auto &[Name, Held] : Adapters)
        if (Name.starts_with(Model + "/"))
          Names.push_back(Name.substr(Model.size() + 1) + "@" +
                          std::to_string(Held.Version));
      List.push_back({{"name", Model}, {"version", 1}, {"adapters", Names}});
    }
    return List.dump();
  }

  std::string registration() const {
    nlohmann::json Entry = {{"service", Settings.Service},
                            {"address", Server.address()},
                            {"zone", Settings.Zone},
                            {"version", "v1"},
                            {"slots", 48},
                            {"state", IsDraining ? "draining" : "ready"},
                            {"cold-left-ms", 0},
                            {"sequence", Sequence},
                            {"born", Born},
                            {"stage", "colocated"}};
    Entry["models"] = nlohmann::json::parse(modelsText());
    return Entry.dump();
  }

  std::string report() const {
    nlohmann::json Pending = nlohmann::json::array();
    for (const auto &[Name, Version] : Loading)
      Pending.push_back(Name + "@" + std::to_string(Version));
    nlohmann::json Report = {
        {"stage", "colocated"}, {"busy", !ModelLoading.empty()},
        {"sequence", Sequence}, {"queued", 0},
        {"active", Active},     {"kv-used", 0},
        {"kv-total", 255'303},  {"handles", 0},
        {"pending", Pending},   {"born", Born}};
    Report["models"] = nlohmann::json::parse(modelsText());
    return Report.dump();
  }

  void heartbeat() {
    while (true) {
      std::string Text;
      bool Alive = false;
      {
        const std::lock_guard<std::mutex> Lock(Mutex);
        Text = registration();
        Alive = Crash.empty() && !Gone;
      }
      if (ReachesStore.load() && Alive)
        Store.put("servers", Settings.Name, Text);
      pauseFor(Settings.Heartbeat);
    }
  }

  /// Reports are as of some hundred milliseconds ago.
  void snapshot() {
    while (true) {
      {
        const std::lock_guard<std::mutex> Lock(Mutex);
        Reports.push_back({steady::now(), report()});
        while (Reports.size() > 1 &&
               steady::now() - Reports[1].first >= Settings.ReportLag)
          Reports.pop_front();
      }
      pauseFor(milliseconds(10));
    }
  }

  bool serve(connection &Peer, message &Request) {
    // Copies of refusals that come late on this connection.
    thread_local std::string Late;
    thread_local connection *LatePeer = nullptr;
    if (LatePeer != &Peer) {
      LatePeer = &Peer;
      Late.clear();
    }
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      if (!Crash.empty() || Gone)
        return false;
    }
    if (!Late.empty()) {
      ++Extras;
      record("engine %s sends its earlier 421 once more, before the answer "
             "to %s",
             Settings.Name.c_str(),
             Request.field("X-Parsleyspindle-Request-Id").c_str());
      Peer.send(Late);
      Late.clear();
    }
    const std::string Only = Request.field("X-Parsleyspindle-Expect-Instance");
    const std::string Id = Request.field("X-Parsleyspindle-Request-Id");
    if (!Only.empty() && Only != Settings.Name)
      return Peer.send(refusal(421, Id));
    if (Request.Target == "/order")
      return order(Peer, Request);
    if (Request.Target == "/report")
      return Peer.send(jsonResponse(200, laggingReport()));
    if (Request.Target == "/health")
      return Peer.send(response(
          200, "X-Parsleyspindle-Instance-Id: " + Settings.Name + "\r\n", ""));
    ++Answers;
    const int Refusal = begin(Request);
    if (Refusal != 0) {
      record("engine %s answers %d to %s (version %s of %s expected)",
             Settings.Name.c_str(), Refusal, Id.c_str(),
             Request.field("X-Parsleyspindle-Expect-Version").c_str(),
             Request.field("X-Parsleyspindle-Model").c_str());
      const std::string Text = refusal(Refusal, Id);
      if (Refusal == 421 && RepeatsRefusal && RepeatsRefusal())
        Late = Text;
      return Peer.send(Text);
    }
    const bool Goes = stream(Peer, Request, Id);
    const std::lock_guard<std::mutex> Lock(Mutex);
    --Active;
    const auto Held = Adapters.find(Request.field("X-Parsleyspindle-Model"));
    if (Held != Adapters.end() && Held->second.Running > 0)
      --Held->second.Running;
    return Goes;
  }

  std::string refusal(int Status, const std::string &Id) const {
    return response(Status,
                    "X-Parsleyspindle-Request-Id: " + Id +
                        "\r\nX-Parsleyspindle-Not-Executed: 1\r\n",
                    "");
  }

  std::string laggingReport() const {
    const std::lock_guard<std::mutex> Lock(Mutex);
    return Reports.empty() ? report() : Reports.front().second;
  }

  /// Begins to work on a request, or returns the status of its refusal.
  int begin(const message &Request) {
    const std::string Name = Request.field("X-Parsleyspindle-Model");
    const std::string Version =
        Request.field("X-Parsleyspindle-Expect-Version");
    const std::lock_guard<std::mutex> Lock(Mutex);
    const std::string Model = Name.substr(0, Name.find('/'));
    if (!Models.contains(Model))
      return 421;
    if (Loading.contains(Name) || Unloading.contains(Name))
      return 503;
    if (Name != Model) {
      const auto Held = Adapters.find(Name);
      if (Held == Adapters.end() ||
          (!Version.empty() && Version != std::to_string(Held->second.Version)))
        return 421;
      ++Held->second.Running;
    }
    ++Active;
    Arrivals.push_back(steady::now());
    const std::string Id = Request.field("X-Parsleyspindle-Request-Id");
    const int Times = ++Runs[Id];
    record("engine %s runs %s%s", Settings.Name.c_str(), Id.c_str(),
           Times > 1 ? ", once more" : "");
    return 0;
  }

  bool stream(connection &Peer, const message &Request,
              const std::string &Id) const {
    const std::string Resumed = Request.field("Last-Event-Id");
    pauseFor(Settings.HeadPause);
    if (!Peer.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                   "Transfer-Encoding: chunked\r\n"
                   "X-Parsleyspindle-Request-Id: " +
                   Id + "\r\nX-Parsleyspindle-Server-Seal: seal." +
                   Settings.Name + "." + Id + "\r\n\r\n"))
      return false;
    for (int Event = std::atoi(Resumed.c_str()) + 1; Event <= Settings.Events;
         ++Event) {
      pauseFor(Settings.EventPause);
      if (Peer.peerGone())
        return false;
      const std::string Number = std::to_string(Event);
      if (!Peer.send(
              chunk("id: " + Number + "\ndata: " + Id + " " + Number + "\n\n")))
        return false;
    }
    return Peer.send("0\r\n\r\n");
  }

  double megabytesHeld() const {
    double Sum = 0;
    for (const std::string &Model : Models)
      Sum += Settings.ModelMegabytes.at(Model);
    if (!ModelLoading.empty())
      Sum += Settings.ModelMegabytes.at(ModelLoading);
    std::set<std::string> Names;
    for (const auto &[Name, Held] : Adapters)
      Names.insert(Name);
    for (const auto &[Name, Version] : Loading)
      Names.insert(Name);
    return Sum + Settings.AdapterMegabytes * static_cast<double>(Names.size());
  }

  /// Crashes if an order has exceeded the memory or the slots.
  void checkCapacity(const std::string &What) {
    std::set<std::string> Names;
    for (const auto &[Name, Held] : Adapters)
      Names.insert(Name);
    for (const auto &[Name, Version] : Loading)
      Names.insert(Name);
    if (Names.size() > Settings.AdapterSlots)
      Crash =
          "more than " + std::to_string(Settings.AdapterSlots) + " adapters";
    else if (megabytesHeld() > Settings.Megabytes)
      Crash = std::to_string(static_cast<long>(megabytesHeld())) + " MB of " +
              std::to_string(static_cast<long>(Settings.Megabytes));
    if (Crash.empty())
      return;
    record("engine %s crashes on the order to %s: %s", Settings.Name.c_str(),
           What.c_str(), Crash.c_str());
  }

  bool order(connection &Peer, const message &Request) {
    const nlohmann::json Order =
        nlohmann::json::parse(Request.Body, nullptr, false);
    int Status = 400;
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      if (Order.is_object())
        Status = carryOut(Order);
      if (Order.is_object())
        Orders.push_back({steady::now(), Order.value("holder", ""),
                          Order.value("fence-token", std::uint64_t{0}),
                          Status});
      record("engine %s: order %s: %d", Settings.Name.c_str(),
             Request.Body.c_str(), Status);
      if (!Crash.empty())
        return false;
    }
    return Peer.send(jsonResponse(Status, "{}"));
  }

  /// Precondition: Mutex is held.
  int carryOut(const nlohmann::json &Order) {
    if (!Order.contains("holder") || !Order.contains("fence-token"))
      return 400;
    const std::uint64_t Fence = Order.at("fence-token");
    if (Settings.RequiresFence && Fence < HighestFence)
      return 412;
    HighestFence = std::max(HighestFence, Fence);
    const std::string Model = Order.value("model", "");
    const std::string Adapter = Order.value("adapter", "");
    const bool IsLoad = Order.value("operation", "") == "load";
    if (Adapter.empty())
      return IsLoad ? loadModel(Order, Model) : 400;
    // The configuration names the adapters a1, a2, and so on.
    const bool Exists =
        Adapter.size() > 1 && Adapter.front() == 'a' &&
        Adapter.find_first_not_of("0123456789", 1) == std::string::npos;
    if (!Exists)
      return 400;
    const std::string Name = Model + "/" + Adapter;
    return IsLoad ? loadAdapter(Order, Model, Name) : unload(Order, Name);
  }

  bool expects(const nlohmann::json &Order) const {
    return !Order.contains("expected") || Order.at("expected") == Sequence;
  }

  int loadModel(const nlohmann::json &Order, const std::string &Model) {
    if (!Settings.ModelMegabytes.contains(Model))
      return 400;
    if (Models.contains(Model))
      return 200;
    if (!ModelLoading.empty() || !expects(Order))
      return 409;
    ModelLoading = Model;
    ++Sequence;
    checkCapacity("load " + Model);
    std::thread([this, Model] {
      pauseFor(Settings.ModelLoadTime);
      const std::lock_guard<std::mutex> Lock(Mutex);
      ModelLoading.clear();
      Models.insert(Model);
      record("engine %s has loaded %s", Settings.Name.c_str(), Model.c_str());
    }).detach();
    return 202;
  }

  int loadAdapter(const nlohmann::json &Order, const std::string &Model,
                  const std::string &Name) {
    if (!Models.contains(Model))
      return 400;
    const auto Held = Adapters.find(Name);
    const std::uint64_t Version = Order.value("version", std::uint64_t{1});
    if (Loading.contains(Name))
      return expects(Order) ? 202 : 409;
    if (Held != Adapters.end() && Held->second.Version >= Version)
      return 200;
    if (!ModelLoading.empty() || !expects(Order))
      return 409;
    const bool IsRecent = Held != Adapters.end() || Before.contains(Name);
    Loading[Name] = Version;
    Before.insert(Name);
    ++Sequence;
    checkCapacity("load " + Name);
    std::thread([this, Name, Version, IsRecent] {
      pauseFor(IsRecent ? Settings.AdapterReloadTime
                        : Settings.AdapterLoadTime);
      while (isRunning(Name))
        pauseFor(milliseconds(5));
      const std::lock_guard<std::mutex> Lock(Mutex);
      Loading.erase(Name);
      Adapters[Name].Version = Version;
    }).detach();
    return 202;
  }

  bool isRunning(const std::string &Name) const {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const auto Held = Adapters.find(Name);
    return Held != Adapters.end() && Held->second.Running > 0;
  }

  int unload(const nlohmann::json &Order, const std::string &Name) {
    const auto Held = Adapters.find(Name);
    if (Held == Adapters.end())
      return 200;
    if (Unloading.contains(Name))
      return 202;
    if (!ModelLoading.empty() || !expects(Order))
      return 409;
    ++Sequence;
    if (Held->second.Running == 0) {
      Adapters.erase(Held);
      return 200;
    }
    Unloading.insert(Name);
    std::thread([this, Name] {
      while (isRunning(Name))
        pauseFor(milliseconds(5));
      const std::lock_guard<std::mutex> Lock(Mutex);
      Unloading.erase(Name);
      Adapters.erase(Name);
    }).detach();
    return 202;
  }

  const engine_settings Settings;
  store &Store;
  const std::int64_t Born =
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count();
  mutable std::mutex Mutex;
  std::uint64_t Sequence = 0;
  std::uint64_t HighestFence = 0;
  int Active = 0;
  std::set<std::string> Models;
  std::string ModelLoading;
  std::map<std::string, held_adapter> Adapters;
  std::map<std::string, std::uint64_t> Loading;
  std::set<std::string> Unloading;
  std::set<std::string> Before;
  std::map<std::string, int> Runs;
  std::vector<seen_order> Orders;
  std::deque<std::pair<steady::time_point, std::string>> Reports;
  std::string Crash;
  bool IsDraining = false;
  bool Gone = false;
  std::optional<steady::time_point> DrainedAt;
  std::vector<steady::time_point> Arrivals;
  server Server;
};

} // namespace review

#endif // PARSLEYSPINDLE_REVIEW_STANDINS_ENGINE_H
