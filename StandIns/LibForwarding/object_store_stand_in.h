#ifndef PARSLEYSPINDLE_STANDINS_LIBFORWARDING_OBJECT_STORE_STAND_IN_H
#define PARSLEYSPINDLE_STANDINS_LIBFORWARDING_OBJECT_STORE_STAND_IN_H

#include "LibHTTP/http_server.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace spindle {

/// The platform's store as its page describes it: objects by kind and name,
/// one revision counter, conditional writes, looks at changes that are held
/// open. Every response states the store's era, which starts at 1 and grows
/// with each restore. Thread-safe.
class object_store_stand_in {
public:
  /// Serves at a port of the kernel's choice. \p Runtime must outlive it.
  explicit object_store_stand_in(fiber_runtime &Runtime);

  endpoint address() const { return Server.address(); }
  /// Writes as the operator or an upstream would.
  void put(const std::string &Kind, const std::string &Name,
           nlohmann::json Content);
  void erase(const std::string &Kind, const std::string &Name);
  bool has(const std::string &Kind, const std::string &Name) const;
  /// Refuses every call with 503.
  void setDown(bool Down);
  /// Forgets the changes so far, so that looks at them get 410.
  void compact();
  /// Keeps a copy of the objects, their history and the revision.
  void takeCopy();
  /// Goes back to the copy, or to an empty store if there is none. The era
  /// grows by 1, and watches that wait are cut off. For a store that is away
  /// meanwhile, call it between setDown(true) and setDown(false).
  void restore();

private:
  using object_key = std::pair<std::string, std::string>;
  struct change {
    std::uint64_t Revision = 0;
    bool Deleted = false;
    nlohmann::json Object;
  };

  struct store_call {
    http_exchange &Exchange;
    std::uint64_t Era = 0;
  };
  /// What a copy holds.
  struct contents {
    std::uint64_t Revision = 10;
    std::uint64_t ForgottenUpTo = 0;
    std::map<object_key, nlohmann::json> Objects;
    std::map<std::string, std::vector<change>> History;
  };

  void serve(http_exchange &Exchange);
  void serveCall(const store_call &Call);
  void serveKind(const store_call &Call, const std::string &Kind);
  void serveChanges(const store_call &Call, const std::string &Kind);
  void serveObject(const store_call &Call, const object_key &Key);
  void create(const store_call &Call, const std::string &Kind);
  nlohmann::json store(const object_key &Key, nlohmann::json Content);
  void remove(const object_key &Key);
  bool isDown() const;
  std::uint64_t era() const;
  /// Responds in the era that the call began in. A call that spans a restore
  /// is cut off.
  void respond(const store_call &Call, int Status,
               const nlohmann::json &Body) const;
  void respondError(const store_call &Call, int Status,
                    std::string_view Message) const;
  /// What changed after \p Revision; none if the store doesn't have that.
  std::optional<nlohmann::json> look(const std::string &Kind,
                                     std::uint64_t Revision);

  mutable std::mutex Mutex;
  std::uint64_t Era = 1;
  bool Down = false;
  contents Now;
  contents Copy;
  http_server Server;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_STANDINS_LIBFORWARDING_OBJECT_STORE_STAND_IN_H
