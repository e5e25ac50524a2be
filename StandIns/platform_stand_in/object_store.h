#ifndef PARSLEYSPINDLE_STANDINS_PLATFORM_STAND_IN_OBJECT_STORE_H
#define PARSLEYSPINDLE_STANDINS_PLATFORM_STAND_IN_OBJECT_STORE_H

#include "LibPlatform/platform_port.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace spindle {

enum class store_status { Done, Exists, Missing, Changed, TooLarge, TooOld };

/// The result of a write.
struct store_result {
  store_status Status = store_status::Done;
  /// The object as it is now, if the write was done.
  platform_object Object;
};

/// The platform's objects: versions, conditional writes, and a window of
/// history that watches read from. Not thread-safe.
class object_store {
public:
  /// Keeps the last \p HistoryEvents changes.
  explicit object_store(std::size_t HistoryEvents)
      : HistoryEvents(HistoryEvents) {}

  std::optional<platform_object> get(std::string_view Kind,
                                     std::string_view Name) const;
  platform_list list(std::string_view Kind) const;
  store_result create(std::string_view Kind, std::string_view Name,
                      std::string_view Body);
  /// Replaces an object; \p Version 0 stands for any version.
  store_result update(std::string_view Kind, std::string_view Name,
                      std::uint64_t Version, std::string_view Body);
  /// Deletes an object; \p Version 0 stands for any version.
  store_result remove(std::string_view Kind, std::string_view Name,
                      std::uint64_t Version);
  /// Adds the changes of a kind after \p FromVersion to \p Events. Returns
  /// TooOld if some of them are no longer kept.
  store_status changesSince(std::string_view Kind, std::uint64_t FromVersion,
                            std::vector<platform_event> &Events) const;
  /// The version of the last write.
  std::uint64_t version() const { return LastVersion; }
  /// Deletes the history, so that every watch must restart.
  void dropHistory();

private:
  using object_key = std::pair<std::string, std::string>;

  store_status check(const object_key &Key, std::uint64_t Version) const;
  store_result write(const object_key &Key, std::string_view Body,
                     platform_change Change);

  std::size_t HistoryEvents;
  std::uint64_t LastVersion = 0;
  /// Changes up to this version are no longer kept.
  std::uint64_t DroppedVersion = 0;
  std::map<object_key, platform_object> Objects;
  std::deque<platform_event> History;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_STANDINS_PLATFORM_STAND_IN_OBJECT_STORE_H
