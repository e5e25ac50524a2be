#ifndef PARSLEYSPINDLE_LIBGATEWAY_REQUEST_STAGES_H
#define PARSLEYSPINDLE_LIBGATEWAY_REQUEST_STAGES_H

#include <array>
#include <atomic>
#include <cstddef>

namespace spindle {

/// How far a request has got.
enum class request_stage {
  /// Its body is being read.
  ReadingBody,
  /// Its upstream is being chosen, for the first time or for a retry.
  Choosing,
  /// It waits until its adapter is loaded, or until the zone's leader places
  /// it.
  WaitingForEngine,
  /// It was sent to an upstream, and nothing of the response has reached the
  /// caller.
  WaitingForResponse,
  /// A stream was started towards the caller.
  Streaming,
};

/// How many requests of this host are in each stage. Thread-safe.
class request_stages {
public:
  /// A request that runs; counted until it is destroyed. Must not outlive the
  /// request_stages. Used by one fiber.
  class registration {
  public:
    explicit registration(request_stages &Stages) : Stages(Stages) {
      Stages.add(Current, 1);
    }
    ~registration() { Stages.add(Current, -1); }
    registration(const registration &) = delete;
    registration &operator=(const registration &) = delete;

    void enter(request_stage Next) {
      Stages.add(Next, 1);
      Stages.add(Current, -1);
      Current = Next;
    }

  private:
    request_stages &Stages;
    request_stage Current = request_stage::ReadingBody;
  };

  int count(request_stage Stage) const {
    return Counts[static_cast<std::size_t>(Stage)].load();
  }

private:
  static constexpr std::size_t StageCount = 5;

  void add(request_stage Stage, int Requests) {
    Counts[static_cast<std::size_t>(Stage)] += Requests;
  }

  std::array<std::atomic<int>, StageCount> Counts{};
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_REQUEST_STAGES_H
