#ifndef PARSLEYSPINDLE_REVIEW_STANDINS_2_ENGINE_H
#define PARSLEYSPINDLE_REVIEW_STANDINS_2_ENGINE_H

#include "store.h"

#include <atomic>
#include <memory>
#include <optional>
#include <set>

namespace review {

/// One order that reached an engine.
struct received_order {
  double At = 0;
  std::string Engine;
  std::string Holder;
  std::uint64_t Fence = 0;
  int Status = 0;
};

/// A model engine that checks fencing tokens, or a plain service if it has no
/// model. It keeps its address when it starts again. Thread-safe.
class engine {
public:
  struct settings {
    std::string Service;
    std::string Zone;
    /// Empty for a plain service.
    std::string Model;
    std::size_t AdapterSlots = 7;
    double LoadSeconds = 0.25;
    double EventSeconds = 0.064;
    /// How long a plain service works on a request.
    double WorkSeconds = 0.03;
  };

  engine(recorder &Record, store &Store, settings Settings)
      : Record(Record), Store(Store), Settings(std::move(Settings)),
        Port(freePort()) {}

  /// Starts a process of the engine under \p Id, and registers it.
  void start(const std::string &Id) {
    const std::shared_ptr<process> Process = std::make_shared<process>();
    Process->Id = Id;
    Process->Born = static_cast<std::int64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
    for (int Tries = 0; Tries < 100; ++Tries) {
      Process->Listener = listenOn(Port);
      if (Process->Listener >= 0)
        break;
      sleepSeconds(0.02);
    }
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      Current = Process;
    }
    RunsSinceStart.store(0);
    Record.line("engine %s: starts at port %d", Id.c_str(), Port);
    serveConnections(Process->Listener,
                     [this, Process](int Socket) { serve(Process, Socket); });
    registerIfChanged(Process);
    std::thread([this, Process] {
      while (!Process->Dead.load()) {
        sleepSeconds(0.3);
        registerIfChanged(Process);
      }
    }).detach();
  }

  /// Ends the process; its registration stays, as nothing is written.
  void crash() {
    std::shared_ptr<process> Process;
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      Process = std::move(Current);
    }
    Record.line("engine %s: crashes", Process->Id.c_str());
    Process->Dead.store(true);
    ::shutdown(Process->Listener, SHUT_RDWR);
    ::close(Process->Listener);
    const std::lock_guard<std::mutex> Lock(Process->Mutex);
    for (const int Socket : Process->Sockets)
      ::shutdown(Socket, SHUT_RDWR);
  }

  int port() const { return Port; }

  /// How often a request ran, over all processes of the engine.
  std::map<std::string, int> runs() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    return Runs;
  }
  std::vector<received_order> orders() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    return Orders;
  }

  /// Decides for each answer whether a second copy of it is sent late, where
  /// the next answer on its connection is due. Set before start().
  std::function<bool(const std::string &Path, int Status)> RepeatsLate;
  /// Decides for each order whether it is left unanswered and carried out
  /// late. Set before start().
  std::function<bool()> LeavesUnanswered;
  std::atomic<int> Answers{0};
  /// Requests that the current process has run.
  std::atomic<int> RunsSinceStart{0};
  std::atomic<int> LateCopies{0};

private:
  struct process {
    std::string Id;
    std::int64_t Born = 0;
    int Listener = -1;
    std::atomic<bool> Dead{false};
    std::mutex Mutex;
    std::set<int> Sockets;
    /// When each adapter is loaded.
    std::map<std::string, double> Adapters;
    std::map<std::string, int> Uses;
    std::set<std::string> Unloading;
    std::uint64_t Sequence = 0;
    std::uint64_t Fence = 0;
    json Registered;
  };
  using process_pointer = std::shared_ptr<process>;

  /// Precondition: the process's mutex is held.
  json modelsOf(process &Process, json &Pending) const {
    json Loaded = json::array();
    Pending = json::array();
    for (const auto &[Name, ReadyAt] : Process.Adapters)
      if (ReadyAt <= now())
        Loaded.push_back(Name + "@1");
      else
        Pending.push_back(Settings.Model + "/" + Name + "@1");
    return json::array({{{"name", Settings.Model},
                         {"version", 1},
                         {"adapters", std::move(Loaded)}}});
  }

  void registerIfChanged(const process_pointer &Process) {
    json Entry;
    {
      const std::lock_guard<std::mutex> Lock(Process->Mutex);
      Entry = {{"service", Settings.Service},
               {"address", "127.0.0.1:" + std::to_string(Port)},
               {"zone", Settings.Zone},
               {"version", "v1"},
               {"slots", 64},
               {"state", "ready"},
               {"cold-left-ms", 0},
               {"sequence", Process->Sequence},
               {"born", Process->Born}};
      json Pending;
      if (!Settings.Model.empty()) {
        Entry["stage"] = "colocated";
        Entry["models"] = modelsOf(*Process, Pending);
      }
      if (Entry == Process->Registered || Process->Dead.load())
        return;
      Process->Registered = Entry;
    }
    Store.put("servers", Process->Id, Entry);
  }

  /// What one connection has to send before its next answer.
  struct connection {
    int Socket = -1;
    std::string LateCopy;
  };

  bool answer(connection &Connection, const std::string &Path, int Status,
              const header_fields &Fields, const std::string &Body) {
    const std::string Text =
        format("HTTP/1.1 " + std::to_string(Status) + " X", Fields, Body);
    if (!sendLateCopy(Connection) || !sendAll(Connection.Socket, Text))
      return false;
    ++Answers;
    if (RepeatsLate && RepeatsLate(Path, Status))
      Connection.LateCopy = Text;
    return true;
  }

  bool sendLateCopy(connection &Connection) {
    if (Connection.LateCopy.empty())
      return true;
    const std::string Copy = std::move(Connection.LateCopy);
    Connection.LateCopy.clear();
    ++LateCopies;
    Record.line("engine at %d: sends the answer before once more", Port);
    if (!sendAll(Connection.Socket, Copy))
      return false;
    sleepSeconds(0.005);
    return true;
  }

  void serve(const process_pointer &Process, int Socket) {
    {
      const std::lock_guard<std::mutex> Lock(Process->Mutex);
      Process->Sockets.insert(Socket);
    }
    connection Connection{Socket, {}};
    reader Reader(Socket);
    message Request;
    while (!Process->Dead.load() && Reader.read(Request) && Request.Complete &&
           !Process->Dead.load())
      if (!handle(*Process, Connection, Request))
        break;
    const std::lock_guard<std::mutex> Lock(Process->Mutex);
    Process->Sockets.erase(Socket);
  }

  bool handle(process &Process, connection &Connection,
              const message &Request) {
    const std::string Path = Request.word(1);
    const std::string Expected =
        Request.field("X-Parsleyspindle-Expect-Instance");
    const std::string Id = Request.field("X-Parsleyspindle-Request-Id");
    header_fields Echo;
    if (!Id.empty())
      Echo.emplace_back("X-Parsleyspindle-Request-Id", Id);
    if (!Expected.empty() && Expected != Process.Id) {
      Record.line("engine %s: %s %s for %s -> 421", Process.Id.c_str(),
                  Path.c_str(), Id.c_str(), Expected.c_str());
      return answer(Connection, Path, 421, Echo, "");
    }
    if (Path == "/report")
      return report(Process, Connection);
    if (Path == "/order")
      return order(Process, Connection, Request);
    return run(Process, Connection, Request, Echo, Id);
  }

  bool report(process &Process, connection &Connection) {
    json Report;
    {
      const std::lock_guard<std::mutex> Lock(Process.Mutex);
      json Pending;
      json Models = modelsOf(Process, Pending);
      Report = {{"stage", "colocated"},
                {"models", std::move(Models)},
                {"busy", false},
                {"sequence", Process.Sequence},
                {"queued", 0},
                {"active", 0},
                {"kv-used", 0},
                {"kv-total", 255'303},
                {"pending", std::move(Pending)},
                {"born", Process.Born}};
    }
    return answer(Connection, "/report", 200,
                  {{"Content-Type", "application/json"}}, Report.dump());
  }

  /// Precondition: the process's mutex is held.
  int apply(process &Process, const json &Order) {
    const std::string Adapter = Order.value("adapter", "");
    const std::uint64_t Fence = Order.at("fence-token");
    if (Fence < Process.Fence)
      return 412;
    Process.Fence = Fence;
    std::erase_if(Process.Unloading, [&](const std::string &Name) {
      if (Process.Uses[Name] > 0)
        return false;
      Process.Adapters.erase(Name);
      return true;
    });
    const auto Known = Process.Adapters.find(Adapter);
    const bool IsLoad = Order.at("operation") == "load";
    if (IsLoad && Known != Process.Adapters.end() &&
        !Process.Unloading.contains(Adapter))
      return Known->second <= now() ? 200 : 202;
    if (!IsLoad && Known == Process.Adapters.end())
      return 200;
    if (!IsLoad && Process.Unloading.contains(Adapter))
      return 202;
    if (!Process.Unloading.empty() ||
        (Order.contains("expected") &&
         Order.at("expected") != Process.Sequence))
      return 409;
    ++Process.Sequence;
    if (IsLoad) {
      Process.Adapters[Adapter] = now() + Settings.LoadSeconds;
      if (Process.Adapters.size() > Settings.AdapterSlots)
        Record.line("engine %s: MORE ADAPTERS THAN SLOTS", Process.Id.c_str());
      return 202;
    }
    if (Process.Uses[Adapter] > 0) {
      Process.Unloading.insert(Adapter);
      return 202;
    }
    Process.Adapters.erase(Adapter);
    return 200;
  }

  bool order(process &Process, connection &Connection, const message &Request) {
    const json Order = json::parse(Request.Body);
    if (LeavesUnanswered && LeavesUnanswered())
      return carryOutLate(Process, Connection, Request, Order);
    received_order Received;
    {
      const std::lock_guard<std::mutex> Lock(Process.Mutex);
      Received = {now(), Process.Id, Order.value("holder", ""),
                  Order.value("fence-token", std::uint64_t{0}),
                  apply(Process, Order)};
    }
    Record.line("engine %s: order %s -> %d", Process.Id.c_str(),
                Request.Body.c_str(), Received.Status);
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      Orders.push_back(Received);
    }
    return answer(Connection, "/order", Received.Status, {}, "");
  }

  /// Gives no answer to the order; it is carried out when its caller has gone
  /// and LateSeconds have passed.
  bool carryOutLate(process &Process, const connection &Connection,
                    const message &Request, const json &Order) {
    constexpr double LateSeconds = 2.0;
    Record.line("engine %s: order %s is not answered", Process.Id.c_str(),
                Request.Body.c_str());
    const double Until = now() + LateSeconds;
    while (now() < Until)
      sleepSeconds(0.05);
    if (Process.Dead.load())
      return false;
    int Status = 0;
    {
      const std::lock_guard<std::mutex> Lock(Process.Mutex);
      Status = apply(Process, Order);
    }
    Record.line("engine %s: late order %s -> %d", Process.Id.c_str(),
                Request.Body.c_str(), Status);
    return !isClosed(Connection.Socket);
  }

  bool run(process &Process, connection &Connection, const message &Request,
           header_fields Echo, const std::string &Id) {
    const std::string Name = Request.field("X-Parsleyspindle-Model");
    const std::size_t Slash = Name.find('/');
    const std::string Adapter =
        Slash == std::string::npos ? std::string() : Name.substr(Slash + 1);
    {
      const std::lock_guard<std::mutex> Lock(Process.Mutex);
      const auto Known = Process.Adapters.find(Adapter);
      const bool IsMissing =
          !Adapter.empty() &&
          (Known == Process.Adapters.end() || Known->second > now() ||
           Process.Unloading.contains(Adapter));
      if (!IsMissing) {
        ++Process.Uses[Adapter];
      } else {
        Record.line("engine %s: %s lacks %s -> 421", Process.Id.c_str(),
                    Id.c_str(), Adapter.c_str());
        Echo.emplace_back("X-Parsleyspindle-Not-Executed", "1");
      }
    }
    if (Echo.size() > (Id.empty() ? 0U : 1U))
      return answer(Connection, "request", 421, Echo, "");
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      ++Runs[Id];
    }
    ++RunsSinceStart;
    Record.line("engine %s: runs %s", Process.Id.c_str(), Id.c_str());
    Echo.emplace_back("X-Parsleyspindle-Server-Seal", "seal." + Process.Id);
    const bool Kept = Settings.Model.empty()
                          ? work(Process, Connection, Id, Echo)
                          : stream(Process, Connection, Request, Echo);
    const std::lock_guard<std::mutex> Lock(Process.Mutex);
    --Process.Uses[Adapter];
    return Kept;
  }

  bool work(process &Process, connection &Connection, const std::string &Id,
            const header_fields &Fields) {
    const double Until = now() + Settings.WorkSeconds;
    while (now() < Until && !Process.Dead.load())
      sleepSeconds(0.005);
    return answer(Connection, "request", 200, Fields, "done " + Id);
  }

  bool stream(process &Process, connection &Connection, const message &Request,
              const header_fields &Fields) {
    const std::string Counts = Request.field("X-Parsleyspindle-Token-Counts");
    const std::size_t Comma = Counts.find(',');
    const int Events =
        Comma == std::string::npos
            ? 2
            : std::max(1, std::atoi(Counts.c_str() + Comma + 1) / 5);
    std::string Head = "HTTP/1.1 200 X\r\n";
    for (const auto &[Key, Value] : Fields)
      Head += Key + ": " + Value + "\r\n";
    Head += "Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n";
    if (!sendLateCopy(Connection) || !sendAll(Connection.Socket, Head))
      return false;
    ++Answers;
    for (int Event = 1; Event <= Events; ++Event) {
      sleepSeconds(Settings.EventSeconds);
      const std::string Text = "id: " + std::to_string(Event) +
                               "\ndata: " + std::to_string(Event) + "\n\n";
      // An engine drops a request when its connection closes.
      if (Process.Dead.load() || isClosed(Connection.Socket) ||
          !sendAll(Connection.Socket, chunk(Text)))
        return false;
    }
    return sendAll(Connection.Socket, "0\r\n\r\n");
  }

  recorder &Record;
  store &Store;
  const settings Settings;
  const int Port;
  std::mutex Mutex;
  process_pointer Current;
  std::map<std::string, int> Runs;
  std::vector<received_order> Orders;
};

} // namespace review

#endif // PARSLEYSPINDLE_REVIEW_STANDINS_2_ENGINE_H
