#include "limit_scenario.h"

#include <random>

namespace spindle {

std::vector<limited_request> makeRequests(const limit_scenario &Scenario,
                                          time_point Start) {
  constexpr std::uint64_t Seed = 20261204;
  std::mt19937_64 Random(Seed);
  std::uniform_real_distribution<double> Uniform(0, 1);
  const double MeanUsed =
      double(Scenario.LargestPrompt) / 2 + double(Scenario.LargestAnswer) / 2;
  std::exponential_distribution<double> Gap(Scenario.Load * Scenario.Rate /
                                            MeanUsed);
  std::vector<limited_request> Requests;
  double Seconds = 0;
  while ((Seconds += Gap(Random)) < Scenario.RunSeconds) {
    limited_request Request;
    Request.At = Start + nanoseconds(std::int64_t(Seconds * 1e9));
    const double Place = Uniform(Random);
    const double Rest = (Place - Scenario.FirstHostPart) /
                        (1 - Scenario.FirstHostPart) * (HostCount - 1);
    Request.Host = Place < Scenario.FirstHostPart ? 0 : 1 + std::size_t(Rest);
    if (Request.Host == 0 && Seconds >= Scenario.HostLostAt)
      Request.Host = 1 + std::size_t(Uniform(Random) * (HostCount - 1));
    const std::int64_t Prompt =
        1 + std::int64_t(Uniform(Random) * double(Scenario.LargestPrompt));
    Request.Reserved = {Prompt + Scenario.LargestAnswer};
    Request.Used = {Prompt + std::int64_t(Uniform(Random) *
                                          double(Scenario.LargestAnswer))};
    Request.Duration = milliseconds(500 + std::int64_t(Uniform(Random) * 4e3));
    Requests.push_back(Request);
  }
  return Requests;
}

std::vector<limit_scenario> limitScenarios() {
  std::vector<limit_scenario> List;
  List.push_back({"all well, even balancer"});
  List.push_back({"all well, burst of 10 s"});
  List.back().Burst = 100'000;
  List.push_back({"70% of the traffic on one host"});
  List.back().FirstHostPart = 0.7;
  List.push_back({"70% on one host, burst of 10 s"});
  List.back().FirstHostPart = 0.7;
  List.back().Burst = 100'000;
  List.push_back({"a host lost after 600 s"});
  List.back().HostLostAt = 600;
  List.push_back({"a zone cut off after 600 s"});
  List.back().ZoneCutAt = 600;
  List.push_back({"platform down 10 minutes"});
  List.back().RunSeconds = 600;
  List.push_back({"requests larger than a host's share"});
  List.back().Rate = 1'000;
  List.back().Burst = 4'000;
  List.back().RunSeconds = 6'000;
  List.push_back({"four times the rate, 70% on one host"});
  List.back().Load = 4;
  List.back().FirstHostPart = 0.7;
  return List;
}

} // namespace spindle
