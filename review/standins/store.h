#ifndef PARSLEYSPINDLE_REVIEW_STANDINS_STORE_H
#define PARSLEYSPINDLE_REVIEW_STANDINS_STORE_H

// The platform's store as its page describes it: objects by kind and name,
// conditional calls, lists, and watches.

#include "net.h"

#include <condition_variable>
#include <nlohmann/json.hpp>
#include <optional>

namespace review {

/// What a test does to one call before it is carried out.
enum class store_trouble { None, LoseAnswer, Refuse };

class store {
public:
  store()
      : Server([this](connection &Peer, message &Request) {
          return serve(Peer, Request);
        }) {}

  std::string address() const { return Server.address(); }

  /// \p Spec is JSON text, which is kept as it is.
  void put(const std::string &Kind, const std::string &Name,
           const std::string &Spec) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    write({Kind, Name}, Spec);
  }

  void erase(const std::string &Kind, const std::string &Name) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    remove({Kind, Name});
  }

  std::optional<std::string> find(const std::string &Kind,
                                  const std::string &Name) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const auto Found = Objects.find({Kind, Name});
    if (Found == Objects.end())
      return std::nullopt;
    return Found->second.Spec;
  }

  /// Decides what happens to a call; called with Mutex released.
  std::function<store_trouble(const message &)> Trouble;

private:
  using key = std::pair<std::string, std::string>;
  struct object {
    std::string Spec;
    std::uint64_t Revision = 0;
  };
  struct change {
    std::uint64_t Revision = 0;
    bool Deleted = false;
    std::string Text;
  };

  static std::string text(const key &Key, const object &Object) {
    nlohmann::json Metadata = {{"name", Key.second},
                               {"revision", Object.Revision}};
    return "{\"metadata\":" + Metadata.dump() + ",\"spec\":" + Object.Spec +
           "}";
  }

  void write(const key &Key, const std::string &Spec) {
    object &Object = Objects[Key];
    if (Object.Revision != 0 && Object.Spec == Spec)
      return;
    Object = {Spec, ++Revision};
    History[Key.first].push_back({Revision, false, text(Key, Object)});
    Changed.notify_all();
  }

  void remove(const key &Key) {
    const auto Found = Objects.find(Key);
    if (Found == Objects.end())
      return;
    History[Key.first].push_back({++Revision, true, text(Key, Found->second)});
    Objects.erase(Found);
    Changed.notify_all();
  }

  static std::string parameter(const std::string &Target,
                               const std::string &Name) {
    const std::size_t Query = Target.find('?');
    if (Query == std::string::npos)
      return {};
    std::string Rest = "&" + Target.substr(Query + 1);
    const std::size_t Start = Rest.find("&" + Name + "=");
    if (Start == std::string::npos)
      return {};
    const std::size_t From = Start + Name.size() + 2;
    return Rest.substr(From, Rest.find('&', From) - From);
  }

  std::string list(const std::string &Kind) {
    std::string Items;
    for (const auto &[Key, Object] : Objects)
      if (Key.first == Kind)
        Items += (Items.empty() ? "" : ",") + text(Key, Object);
    return jsonResponse(200, "{\"items\":[" + Items +
                                 "],\"has-more\":false,\"current-rev\":" +
                                 std::to_string(Revision) + "}");
  }

  std::string watch(std::unique_lock<std::mutex> &Lock, const std::string &Kind,
                    std::uint64_t From, milliseconds Wait) {
    const steady::time_point Until = steady::now() + Wait;
    while (true) {
      std::string Events;
      for (const change &Change : History[Kind])
        if (Change.Revision > From)
          Events += std::string(Events.empty() ? "" : ",") +
                    "{\"deleted\":" + (Change.Deleted ? "true" : "false") +
                    ",\"object\":" + Change.Text + "}";
      if (!Events.empty() || steady::now() >= Until)
        return jsonResponse(
            200, "{\"events\":[" + Events +
                     "],\"current-rev\":" + std::to_string(Revision) + "}");
      Changed.wait_until(Lock, Until);
    }
  }

  std::string changeObject(const message &Request, const key &Key) {
    const auto Found = Objects.find(Key);
    if (Found == Objects.end())
      return jsonResponse(404, "{}");
    nlohmann::json Body;
    if (Request.Method == "PUT")
      Body = nlohmann::json::parse(Request.Body);
    std::string Condition = parameter(Request.Target, "revision");
    if (Condition.empty() && Body.is_object() &&
        Body.at("metadata").contains("revision"))
      Condition = Body.at("metadata").at("revision").dump();
    if (!Condition.empty() &&
        Condition != std::to_string(Found->second.Revision))
      return jsonResponse(409, text(Key, Found->second));
    if (Request.Method == "DELETE") {
      const std::string Text = text(Key, Found->second);
      remove(Key);
      return jsonResponse(200, Text);
    }
    write(Key, Body.at("spec").dump());
    return jsonResponse(200, text(Key, Objects[Key]));
  }

  std::string answer(const message &Request) {
    std::unique_lock<std::mutex> Lock(Mutex);
    std::string Path = Request.Target.substr(0, Request.Target.find('?'));
    static const std::string Start = "/objects/";
    if (!Path.starts_with(Start))
      return jsonResponse(404, "{}");
    Path.erase(0, Start.size());
    const std::size_t Slash = Path.find('/');
    const std::string Kind = Path.substr(0, Slash);
    if (Slash != std::string::npos) {
      const key Key{Kind, Path.substr(Slash + 1)};
      if (Request.Method != "GET")
        return changeObject(Request, Key);
      const auto Found = Objects.find(Key);
      return Found == Objects.end()
                 ? jsonResponse(404, "{}")
                 : jsonResponse(200, text(Key, Found->second));
    }
    if (Request.Method == "POST") {
      const nlohmann::json Body = nlohmann::json::parse(Request.Body);
      const key Key{Kind, Body.at("metadata").at("name")};
      const auto Found = Objects.find(Key);
      if (Found != Objects.end())
        return jsonResponse(409, text(Key, Found->second));
      write(Key, Body.at("spec").dump());
      return jsonResponse(201, text(Key, Objects[Key]));
    }
    const std::string From = parameter(Request.Target, "watch");
    if (From.empty())
      return list(Kind);
    const std::string Wait = parameter(Request.Target, "wait-ms");
    return watch(Lock, Kind, std::strtoull(From.c_str(), nullptr, 10),
                 milliseconds(std::atoll(Wait.c_str())));
  }

  bool serve(connection &Peer, message &Request) {
    const store_trouble Now = Trouble ? Trouble(Request) : store_trouble::None;
    if (Now == store_trouble::Refuse)
      return Peer.send(jsonResponse(503, "{}"));
    const std::string Answer = answer(Request);
    if (Now == store_trouble::LoseAnswer) {
      // A connection on which a response is lost returns nothing further.
      while (Peer.fill(milliseconds(60'000))) {
      }
      return false;
    }
    return Peer.send(Answer);
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  std::uint64_t Revision = 100;
  std::map<key, object> Objects;
  std::map<std::string, std::vector<change>> History;
  server Server;
};

} // namespace review

#endif // PARSLEYSPINDLE_REVIEW_STANDINS_STORE_H
