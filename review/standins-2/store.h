#ifndef PARSLEYSPINDLE_REVIEW_STANDINS_2_STORE_H
#define PARSLEYSPINDLE_REVIEW_STANDINS_2_STORE_H

#include "record.h"

#include <condition_variable>
#include <map>

#include <nlohmann/json.hpp>

namespace review {

using json = nlohmann::json;

/// The platform's store: objects by kind and name, one revision counter,
/// conditional writes, watches. Thread-safe.
class store {
public:
  explicit store(recorder &Record)
      : Record(Record), Listener(listenOn(0)), Port(portOf(Listener)) {
    serveConnections(Listener, [this](int Socket) { serve(Socket); });
  }

  int port() const { return Port; }

  /// Writes as the operator or an engine does.
  void put(const std::string &Kind, const std::string &Name, json Spec) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    write({Kind, Name}, std::move(Spec));
  }
  void erase(const std::string &Kind, const std::string &Name) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    drop({Kind, Name});
  }
  json find(const std::string &Kind, const std::string &Name) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const auto Found = Objects.find({Kind, Name});
    return Found == Objects.end() ? json() : Found->second["spec"];
  }

  /// Decides for each write that was done whether its answer is lost. Set
  /// before the hosts start.
  std::function<bool(const std::string &Method, const std::string &Kind,
                     const std::string &Name, const json &Spec)>
      LosesAnswer;

private:
  using key = std::pair<std::string, std::string>;
  struct change {
    std::uint64_t Revision;
    bool Deleted;
    json Object;
  };

  void write(const key &Key, json Spec) {
    json &Object = Objects[Key];
    Object["metadata"] = {{"name", Key.second}, {"revision", ++Revision}};
    Object["spec"] = std::move(Spec);
    Changes[Key.first].push_back({Revision, false, Object});
    Changed.notify_all();
  }
  void drop(const key &Key) {
    const auto Found = Objects.find(Key);
    if (Found == Objects.end())
      return;
    Changes[Key.first].push_back({++Revision, true, Found->second});
    Objects.erase(Found);
    Changed.notify_all();
  }

  static std::string query(const std::string &Target, const std::string &Name) {
    const std::size_t Start = Target.find(Name + "=");
    if (Start == std::string::npos)
      return {};
    const std::size_t Value = Start + Name.size() + 1;
    return Target.substr(Value, Target.find('&', Value) - Value);
  }

  json list(const std::string &Kind) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    json Answer = {{"items", json::array()},
                   {"has-more", false},
                   {"current-rev", Revision}};
    for (const auto &[Key, Object] : Objects)
      if (Key.first == Kind)
        Answer["items"].push_back(Object);
    return Answer;
  }

  json watch(const std::string &Kind, std::uint64_t From, int WaitMs) {
    std::unique_lock<std::mutex> Lock(Mutex);
    const auto HasChange = [&] {
      const std::vector<change> &List = Changes[Kind];
      return !List.empty() && List.back().Revision > From;
    };
    Changed.wait_for(Lock, std::chrono::milliseconds(WaitMs), HasChange);
    json Answer = {{"events", json::array()}, {"current-rev", Revision}};
    for (const change &Change : Changes[Kind])
      if (Change.Revision > From)
        Answer["events"].push_back(
            {{"object", Change.Object}, {"deleted", Change.Deleted}});
    return Answer;
  }

  /// Returns the status of a write.
  int change_object(const message &Request, const std::string &Kind,
                    std::string Name, json &Answer) {
    const std::string Method = Request.word(0);
    const json Body = Request.Body.empty() ? json() : json::parse(Request.Body);
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (Method == "POST")
      Name = Body.at("metadata").at("name");
    const auto Found = Objects.find({Kind, Name});
    const bool Exists = Found != Objects.end();
    if (Method == "POST" && Exists) {
      Answer = Found->second;
      return 409;
    }
    if (Method != "POST" && !Exists)
      return 404;
    std::uint64_t Condition =
        std::strtoull(query(Request.word(1), "revision").c_str(), nullptr, 10);
    if (Body.is_object())
      Condition = Body.at("metadata").value("revision", Condition);
    if (Exists && Condition != 0 &&
        Found->second["metadata"]["revision"] != Condition) {
      Answer = Found->second;
      return 409;
    }
    if (Method == "DELETE") {
      Answer = Found->second;
      drop({Kind, Name});
      return 200;
    }
    write({Kind, Name}, Body.at("spec"));
    Answer = Objects[{Kind, Name}];
    return Method == "POST" ? 201 : 200;
  }

  void serve(int Socket) {
    reader Reader(Socket);
    message Request;
    while (Reader.read(Request)) {
      const std::string Method = Request.word(0);
      const std::string Target = Request.word(1);
      const std::string Path = Target.substr(0, Target.find('?'));
      std::string Kind = Path.substr(std::min<std::size_t>(9, Path.size()));
      std::string Name;
      if (const std::size_t Slash = Kind.find('/');
          Slash != std::string::npos) {
        Name = Kind.substr(Slash + 1);
        Kind = Kind.substr(0, Slash);
      }
      json Answer;
      int Status = 200;
      if (Method != "GET") {
        Status = change_object(Request, Kind, Name, Answer);
        Record.line("store: %s %s %s -> %d", Method.c_str(), Path.c_str(),
                    Request.Body.c_str(), Status);
        const json Body =
            Request.Body.empty() ? json() : json::parse(Request.Body);
        const json Spec =
            Body.is_object() ? Body.value("spec", json()) : json();
        if (Status < 300 && LosesAnswer &&
            LosesAnswer(Method, Kind, Name, Spec)) {
          Record.line("store: the answer to this write is lost");
          // The connection returns nothing further.
          while (!isClosed(Socket))
            sleepSeconds(0.05);
          return;
        }
      } else if (!Name.empty()) {
        const std::lock_guard<std::mutex> Lock(Mutex);
        const auto Found = Objects.find({Kind, Name});
        Status = Found == Objects.end() ? 404 : 200;
        Answer = Found == Objects.end() ? json() : Found->second;
      } else if (Target.find("watch=") != std::string::npos) {
        Answer = watch(
            Kind, std::strtoull(query(Target, "watch").c_str(), nullptr, 10),
            std::atoi(query(Target, "wait-ms").c_str()));
      } else {
        Answer = list(Kind);
      }
      if (!sendAll(Socket, format("HTTP/1.1 " + std::to_string(Status) + " X",
                                  {{"Content-Type", "application/json"}},
                                  Answer.dump())))
        return;
    }
  }

  recorder &Record;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::uint64_t Revision = 10;
  std::map<key, json> Objects;
  std::map<std::string, std::vector<change>> Changes;
  const int Listener;
  const int Port;
};

} // namespace review

#endif // PARSLEYSPINDLE_REVIEW_STANDINS_2_STORE_H
