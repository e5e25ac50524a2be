#include "platform_stand_in/object_store.h"

#include <algorithm>

namespace spindle {

std::optional<platform_object> object_store::get(std::string_view Kind,
                                                 std::string_view Name) const {
  const auto Found = Objects.find({std::string(Kind), std::string(Name)});
  if (Found == Objects.end())
    return std::nullopt;
  return Found->second;
}

platform_list object_store::list(std::string_view Kind) const {
  platform_list List;
  List.Version = LastVersion;
  auto Entry = Objects.lower_bound({std::string(Kind), ""});
  for (; Entry != Objects.end() && Entry->first.first == Kind; ++Entry)
    List.Objects.push_back(Entry->second);
  return List;
}

store_status object_store::check(const object_key &Key,
                                 std::uint64_t Version) const {
  const auto Found = Objects.find(Key);
  if (Found == Objects.end())
    return store_status::Missing;
  if (Version != 0 && Found->second.Version != Version)
    return store_status::Changed;
  return store_status::Done;
}

store_result object_store::create(std::string_view Kind, std::string_view Name,
                                  std::string_view Body) {
  const object_key Key{std::string(Kind), std::string(Name)};
  if (Body.size() > PlatformValueLimitBytes)
    return {store_status::TooLarge, {}};
  if (Objects.contains(Key))
    return {store_status::Exists, {}};
  return write(Key, Body, platform_change::Added);
}

store_result object_store::update(std::string_view Kind, std::string_view Name,
                                  std::uint64_t Version,
                                  std::string_view Body) {
  const object_key Key{std::string(Kind), std::string(Name)};
  if (Body.size() > PlatformValueLimitBytes)
    return {store_status::TooLarge, {}};
  const store_status Status = check(Key, Version);
  if (Status != store_status::Done)
    return {Status, {}};
  return write(Key, Body, platform_change::Modified);
}

store_result object_store::remove(std::string_view Kind, std::string_view Name,
                                  std::uint64_t Version) {
  const object_key Key{std::string(Kind), std::string(Name)};
  const store_status Status = check(Key, Version);
  if (Status != store_status::Done)
    return {Status, {}};
  return write(Key, Objects.at(Key).Body, platform_change::Deleted);
}

store_result object_store::write(const object_key &Key, std::string_view Body,
                                 platform_change Change) {
  const platform_object Object{Key.first, Key.second, ++LastVersion,
                               std::string(Body)};
  if (Change == platform_change::Deleted)
    Objects.erase(Key);
  else
    Objects[Key] = Object;
  History.push_back({Change, Object});
  if (History.size() > HistoryEvents) {
    DroppedVersion = History.front().Object.Version;
    History.pop_front();
  }
  return {store_status::Done, Object};
}

store_status
object_store::changesSince(std::string_view Kind, std::uint64_t FromVersion,
                           std::vector<platform_event> &Events) const {
  if (FromVersion < DroppedVersion)
    return store_status::TooOld;
  auto Next =
      std::upper_bound(History.begin(), History.end(), FromVersion,
                       [](std::uint64_t Version, const platform_event &Event) {
                         return Version < Event.Object.Version;
                       });
  for (; Next != History.end(); ++Next)
    if (Next->Object.Kind == Kind)
      Events.push_back(*Next);
  return store_status::Done;
}

void object_store::dropHistory() {
  History.clear();
  DroppedVersion = LastVersion;
}

} // namespace spindle
