#ifndef PARSLEYSPINDLE_STANDINS_PLATFORM_STAND_IN_PLATFORM_STATE_H
#define PARSLEYSPINDLE_STANDINS_PLATFORM_STAND_IN_PLATFORM_STATE_H

#include "platform_stand_in/platform_faults.h"
#include "platform_stand_in/platform_server.h"

#include <map>
#include <mutex>

#include <boost/fiber/condition_variable.hpp>
#include <nlohmann/json_fwd.hpp>

namespace spindle {

/// What a path of the API names; an empty name stands for the collection.
struct object_path {
  std::string Kind;
  std::string Name;
};

/// One call, its body read.
struct api_call {
  http_exchange &Exchange;
  object_path Path;
  platform_object Object;
};

/// A watch that is being served.
struct open_watch {
  const api_call &Call;
  /// The version up to which changes were sent.
  std::uint64_t From = 0;
  time_point Deadline{};
  /// When a quiet watch gets its next bookmark.
  time_point BookmarkAt{};
  /// The count of closings when the watch began.
  std::int64_t CloseEpoch = 0;
  bool Ended = false;
};

/// The platform's state, and the handlers that work on it.
struct platform_server::state {
  explicit state(const platform_server_settings &Settings)
      : Settings(Settings), Store(Settings.HistoryEvents),
        Weights(Settings.Weights) {
    Faults.Rates = Settings.Rates;
  }

  void serveApi(http_exchange &Exchange);
  bool passFaults(http_exchange &Exchange);
  bool admit(const api_call &Call, store_call Kind);
  bool cut(const http_exchange &Exchange);
  void serveRead(const api_call &Call);
  void serveWrite(const api_call &Call);
  store_result write(const api_call &Call);
  void serveWatch(const api_call &Call);
  bool startWatch(open_watch &Watch);
  void streamChanges(open_watch &Watch);
  std::string nextLines(open_watch &Watch);
  bool silent(const open_watch &Watch) const;
  std::string linesNow(open_watch &Watch);
  void applySwitches(const nlohmann::json &Switches);
  nlohmann::json counts();
  void serveWeights(http_exchange &Exchange);

  const platform_server_settings Settings;
  std::mutex Mutex;
  object_store Store;
  rate_meter Meter;
  weight_store Weights;
  platform_faults Faults;
  /// Signalled at each write of a kind. Entries are never removed.
  std::map<std::string, boost::fibers::condition_variable_any> Changed;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_STANDINS_PLATFORM_STAND_IN_PLATFORM_STATE_H
