#include "LibGateway/shared_part_suspects.h"

#include "LibGateway/sync_message.h"
#include "LibLog/log.h"

namespace spindle {

std::vector<part_id> sharedParts(const request_description &Request,
                                 std::string_view Service) {
  std::vector<part_id> Parts;
  for (std::size_t Index = 0; Index + 1 < Request.Prompt.size(); ++Index)
    Parts.push_back(makePartId(Service, Request.Prompt[Index].Id));
  return Parts;
}

/// Precondition: Mutex is held.
void shared_part_suspects::logChanges() {
  for (const auto &[Part, Until] : Suspects.HeldBack)
    if (Logged.insert(Part).second)
      logEvent(log_event::PromptPartHeldBack,
               {{"part", std::to_string(Part.Value)},
                {"crashes",
                 std::to_string(Suspects.Suspects.at(Part).Crashes.size())}});
  std::erase_if(Logged, [this](part_id Part) {
    const bool IsOver = !Suspects.HeldBack.contains(Part);
    if (IsOver)
      logEvent(log_event::PromptPartReleased,
               {{"part", std::to_string(Part.Value)}});
    return IsOver;
  });
}

milliseconds shared_part_suspects::heldBackFor(std::span<const part_id> Parts) {
  const time_point Now = Clock.now();
  const std::lock_guard<std::mutex> Lock(Mutex);
  const std::optional<time_point> Until = heldBackUntil(Suspects, Parts, Now);
  return Until ? std::chrono::ceil<milliseconds>(*Until - Now)
               : milliseconds(0);
}

void shared_part_suspects::noteLost(const upstream_entry &Upstream,
                                    std::span<const part_id> Parts) {
  const upstream_start_id Start = upstream_start_id::ofName(
      Upstream.Name + "@" + std::to_string(Upstream.StartedAt));
  const time_point Now = Clock.now();
  const std::lock_guard<std::mutex> Lock(Mutex);
  expirePartSuspects(Suspects, Now);
  noteCrash(Suspects, Parts, Start, Now);
  logChanges();
}

void shared_part_suspects::noteCompleted(std::span<const part_id> Parts) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  spindle::noteCompleted(Suspects, Parts, Clock.now());
  logChanges();
}

void shared_part_suspects::write(messages &Messages) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  for (const part_suspect_record &Record :
       writePartSuspects(Suspects, Clock.now()))
    writePartSuspect(Record, *Messages.Add());
}

void shared_part_suspects::merge(const messages &Messages) {
  std::vector<part_suspect_record> Records;
  Records.reserve(static_cast<std::size_t>(Messages.size()));
  for (const host_link::PartSuspect &Message : Messages)
    Records.push_back(readPartSuspect(Message));
  const time_point Now = Clock.now();
  const std::lock_guard<std::mutex> Lock(Mutex);
  mergePartSuspects(Suspects, Records, Now);
  expirePartSuspects(Suspects, Now);
  logChanges();
}

} // namespace spindle
