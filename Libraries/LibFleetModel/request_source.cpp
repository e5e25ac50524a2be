#include "LibFleetModel/request_source.h"

#include <algorithm>

namespace spindle {

// Retries that a caller makes at once, beyond its usual ones.
static constexpr std::uint32_t ImmediateRetries = 3;

request_source::request_source(const model_settings &Settings,
                               const model_pattern &Pattern, time_point Begin)
    : Settings(Settings), Pattern(Pattern), Begin(Begin), Random(Settings.Seed),
      Popularity(Settings.Adapters, Settings.ZipfExponent) {}

const model_phase *request_source::phaseAt(time_point Time) const {
  const double Second = std::chrono::duration<double>(Time - Begin).count();
  for (const model_phase &Phase : Pattern.Phases)
    if (Second >= Phase.AtSeconds &&
        Second < Phase.AtSeconds + Phase.ForSeconds)
      return &Phase;
  return nullptr;
}

void request_source::drawArrivals(
    const std::function<void(time_point, std::size_t Kind)> &OnArrival) {
  double MostFactor = 1;
  for (const model_phase &Phase : Pattern.Phases)
    MostFactor = std::max(MostFactor, Phase.RateFactor);
  for (std::size_t Kind = 0; Kind < Settings.Kinds.size(); ++Kind) {
    const double MostRate =
        Settings.Kinds[Kind].PerSecond * Pattern.RateFactor * MostFactor;
    if (MostRate <= 0)
      continue;
    std::exponential_distribution<double> Pause(MostRate);
    for (double Second = Pause(Random); Second < Pattern.Seconds;
         Second += Pause(Random)) {
      // Drawn at the highest rate and thinned out where it is lower.
      const double Factor = draw(0, MostFactor);
      const time_point Time = Begin + fromMilliseconds(Second * 1'000);
      const model_phase *const Phase = phaseAt(Time);
      if (Factor < (Phase ? Phase->RateFactor : 1))
        OnArrival(Time, Kind);
    }
  }
}

double request_source::draw(double Least, double Most) {
  return std::uniform_real_distribution<double>(Least, Most)(Random);
}

std::size_t request_source::drawHost(std::size_t HostCount) {
  return std::uniform_int_distribution<std::size_t>(0, HostCount - 1)(Random);
}

adapter_name request_source::drawAdapter(const model_phase *Phase) {
  const double Draw = draw(0, 1);
  std::uint32_t Rank = Popularity.draw(Random);
  if (Phase && Draw < Phase->HotShare)
    Rank = Settings.Adapters - 1;
  else if (Phase && Draw < Phase->HotShare + Phase->ColdShare)
    Rank = std::uniform_int_distribution<std::uint32_t>(0, Settings.Adapters -
                                                               1)(Random);
  return {ModelName, "a" + std::to_string(Rank)};
}

request_pointer request_source::drawRequest(std::size_t KindIndex,
                                            std::size_t HostCount,
                                            time_point Now) {
  const model_kind &Kind = Settings.Kinds[KindIndex];
  const model_phase *const Phase = phaseAt(Now);
  request_pointer Request = std::make_shared<model_request>();
  Request->Id = ++LastRequest;
  Request->Kind = KindIndex;
  Request->Host = drawHost(HostCount);
  const adapter_name Adapter = drawAdapter(Phase);
  request_description &Description = Request->Description;
  Description.Model = Adapter.Model;
  Description.Adapter = Adapter.Adapter;
  Description.PromptTokens = Kind.SharedTokens + Kind.OwnTokens;
  if (Kind.SharedTokens > 0)
    Description.Prompt.push_back({KindIndex + 1, Kind.SharedTokens});
  Description.Prompt.push_back(
      {(Request->Id << 8U) + KindIndex, Kind.OwnTokens});
  Request->Begin = Now;
  Request->RetriesLeft = Kind.Retries;
  const double Draw = draw(0, 1);
  if (Phase && Draw < Phase->RepeatShare) {
    Request->RetriesAtOnce = true;
    Request->RetriesLeft += ImmediateRetries;
  }
  return Request;
}

} // namespace spindle
