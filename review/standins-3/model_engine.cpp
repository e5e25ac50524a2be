#include "model_engine.h"

#include <chrono>

namespace review {

static constexpr milliseconds BeatInterval{1'200};
static constexpr milliseconds BeatStep{50};

std::int64_t unixMilliseconds() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

model_engine::model_engine(case_record &Record, object_store &Store,
                           std::string Id, engine_traits Traits,
                           std::set<std::string> Models)
    : Record(Record), Store(Store), Traits(std::move(Traits)),
      Id(std::move(Id)), Born(unixMilliseconds()), Models(std::move(Models)),
      Server([this](stream_socket &Socket, http_message &Request,
                    std::uint64_t) { return serve(Socket, Request); }) {
  Beats = std::thread([this] { beat(); });
}

model_engine::~model_engine() {
  Stopping = true;
  Beats.join();
  Server.stop();
}

std::set<std::string> model_engine::models() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Models;
}

std::map<std::string, int> model_engine::runs() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Runs;
}

/// Precondition: Mutex is held.
json model_engine::modelList() {
  json List = json::array();
  for (const std::string &Model : Models) {
    json Names = json::array();
    for (const auto &[Key, Adapter] : Adapters)
      if (Key.first == Model && steady::now() >= Adapter.ReadyAt)
        Names.push_back(Key.second + "@" + std::to_string(Adapter.Version));
    List.push_back({{"name", Model}, {"version", 1}, {"adapters", Names}});
  }
  return List;
}

/// Precondition: Mutex is held.
json model_engine::registration() {
  return {{"service", Traits.Service},
          {"address", Server.address()},
          {"zone", Traits.Zone},
          {"version", "v1"},
          {"slots", Traits.Slots},
          {"state", "ready"},
          {"cold-left-ms", 0},
          {"stage", "colocated"},
          {"models", modelList()},
          {"sequence", Sequence},
          {"born", Born}};
}

/// Precondition: Mutex is held.
json model_engine::report() {
  json Pending = json::array();
  for (const auto &[Key, Adapter] : Adapters)
    if (steady::now() < Adapter.ReadyAt)
      Pending.push_back(Key.first + "/" + Key.second + "@" +
                        std::to_string(Adapter.Version));
  return {{"stage", "colocated"},
          {"models", modelList()},
          {"busy", !LoadingModel.empty()},
          {"sequence", Sequence},
          {"queued", 0},
          {"active", Active},
          {"kv-used", 0},
          {"kv-total", 255'303},
          {"handles", 0},
          {"pending", Pending},
          {"born", Born}};
}

/// Beats every 1.2 s, and when its models or adapters have changed.
void model_engine::beat() {
  steady::time_point NextAt;
  json LastModels;
  while (!Stopping) {
    sleepFor(BeatStep);
    json Entry;
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      if (!LoadingModel.empty() && steady::now() >= LoadedAt) {
        Models.insert(LoadingModel);
        Record.note("engine " + Id + " has loaded " + LoadingModel);
        LoadingModel.clear();
      }
      Entry = registration();
    }
    if (steady::now() < NextAt && Entry["models"] == LastModels)
      continue;
    if (Store.beat(Id, Entry))
      LastModels = Entry["models"];
    NextAt = steady::now() + BeatInterval;
  }
}

std::string makeMisdirected(const http_message &Request,
                            const std::string &Id) {
  std::vector<header_field> Fields{{"X-Parsleyspindle-Instance-Id", Id}};
  const std::string Attempt = Request.find("X-Parsleyspindle-Request-Id");
  if (!Attempt.empty())
    Fields.push_back({"X-Parsleyspindle-Request-Id", Attempt});
  return makeResponse(421, Fields, "");
}

bool model_engine::serve(stream_socket &Socket, http_message &Request) {
  if (!Socket.readBody(Request, false))
    return false;
  const std::string Expected = Request.find("X-Parsleyspindle-Expect-Instance");
  if (!Expected.empty() && Expected != Id)
    return Socket.write(makeMisdirected(Request, Id));
  if (Request.target() == "/report") {
    json Report;
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      Report = report();
    }
    return Socket.write(makeResponse(
        200, {{"Content-Type", "application/json"}}, Report.dump()));
  }
  if (Request.target() != "/order")
    return run(Socket, Request);
  const int Status = carryOut(json::parse(Request.Body));
  Record.note("engine " + Id + " answers " + std::to_string(Status) +
              " to the order " + Request.Body);
  return Socket.write(makeResponse(Status, {}, ""));
}

int model_engine::carryOut(const json &Order) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (!Order.contains("holder") || !Order.contains("fence-token"))
    return 400;
  const std::uint64_t Fence = Order["fence-token"];
  if (Fence < HighestFence)
    return 412;
  HighestFence = Fence;
  const std::string Model = Order["model"];
  const adapter_key Key{Model, Order.value("adapter", "")};
  const bool IsLoad = Order["operation"] == "load";
  const bool Holds = IsLoad && Key.second.empty() && Models.count(Model) > 0;
  if (Holds)
    return 200;
  if (!LoadingModel.empty())
    return 409;
  if (Order.contains("expected") && Order["expected"] != Sequence)
    return 409;
  if (!IsLoad)
    return unloadAdapter(Key);
  if (Key.second.empty())
    return loadModel(Model);
  return Models.count(Model) > 0
             ? loadAdapter(Key, Order.value("version", std::uint64_t{1}))
             : 421;
}

/// Precondition: Mutex is held.
int model_engine::loadModel(const std::string &Model) {
  double Megabytes = Traits.ModelMegabytes.at(Model);
  for (const std::string &Held : Models)
    Megabytes += Traits.ModelMegabytes.at(Held);
  if (Megabytes > Traits.WeightsMegabytes) {
    Overfilled = true;
    Record.note("engine " + Id + " is ordered to load " + Model +
                ": it would hold " + std::to_string(Megabytes) + " MB of " +
                std::to_string(Traits.WeightsMegabytes));
  }
  ++Sequence;
  LoadingModel = Model;
  LoadedAt = steady::now() + Traits.ModelLoadTime;
  return 202;
}

/// Precondition: Mutex is held.
int model_engine::loadAdapter(const adapter_key &Key, std::uint64_t Version) {
  const auto Known = Adapters.find(Key);
  if (Known != Adapters.end() && Known->second.Version >= Version)
    return steady::now() >= Known->second.ReadyAt ? 200 : 202;
  ++Sequence;
  Adapters[Key] = {Version, steady::now() + Traits.AdapterLoadTime};
  if (Adapters.size() > Traits.AdapterSlots) {
    Overfilled = true;
    Record.note("engine " + Id + " is ordered to load more adapters than " +
                std::to_string(Traits.AdapterSlots));
  }
  return 202;
}

/// Precondition: Mutex is held.
int model_engine::unloadAdapter(const adapter_key &Key) {
  if (Adapters.count(Key) == 0)
    return 200;
  if (InUse[Key] > 0)
    return 409;
  ++Sequence;
  Adapters.erase(Key);
  return 200;
}

bool model_engine::run(stream_socket &Socket, const http_message &Request) {
  const std::string Attempt = Request.find("X-Parsleyspindle-Request-Id");
  const std::string Wanted = Request.find("X-Parsleyspindle-Model");
  const std::size_t Slash = Wanted.find('/');
  const adapter_key Key{Wanted.substr(0, Slash),
                        Slash == std::string::npos ? std::string()
                                                   : Wanted.substr(Slash + 1)};
  bool IsThere = false;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const auto Adapter = Adapters.find(Key);
    IsThere =
        Models.count(Key.first) > 0 &&
        (Key.second.empty() || (Adapter != Adapters.end() &&
                                steady::now() >= Adapter->second.ReadyAt));
    if (IsThere) {
      ++Runs[Attempt];
      ++Active;
      ++InUse[Key];
    }
  }
  if (!IsThere)
    return Socket.write(makeResponse(421,
                                     {{"X-Parsleyspindle-Request-Id", Attempt},
                                      {"X-Parsleyspindle-Not-Executed", "1"}},
                                     ""));
  Record.note("engine " + Id + " runs request " + Attempt);
  const bool IsOpen = streamEvents(Socket, Request);
  const std::lock_guard<std::mutex> Lock(Mutex);
  --Active;
  --InUse[Key];
  return IsOpen;
}

bool model_engine::streamEvents(stream_socket &Socket,
                                const http_message &Request) {
  const std::string Attempt = Request.find("X-Parsleyspindle-Request-Id");
  if (!Socket.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                    "X-Parsleyspindle-Request-Id: " +
                    Attempt + "\r\nX-Parsleyspindle-Server-Seal: seal-" + Id +
                    "\r\nTransfer-Encoding: chunked\r\n\r\n"))
    return false;
  for (int Event = 1; Event <= Traits.Events; ++Event) {
    sleepFor(Traits.EventPause);
    if (Socket.peerClosed() ||
        !Socket.write(makeChunk("id: " + std::to_string(Event) +
                                "\ndata: " + Attempt + "\n\n")))
      return false;
  }
  return Socket.write("0\r\n\r\n");
}

} // namespace review
