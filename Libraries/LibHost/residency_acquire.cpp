#include "LibHost/residency_agent_state.h"
#include "LibLog/log.h"
#include "LibRuntime/fiber_runtime.h"

#include <algorithm>

namespace spindle {

/// The outcome of one request for a pin.
enum class pin_request_result : std::uint8_t {
  Pinned,
  /// Not loaded yet; the request should be repeated.
  NotLoadedYet,
  /// The engine has no known owner at present.
  NoOwner,
  OwnerUnreachable,
  LoadFailed
};

/// The state of one request's attempts to acquire a pin.
struct acquisition {
  const pin_request &Request;
  /// The engines that the request avoids, and those that failed to load the
  /// adapter.
  std::vector<upstream_id> Failed;
  /// Engines to retry after a pause.
  std::vector<upstream_id> Postponed;
  bool LoadFailed = false;
  time_point StartedAt;

  std::vector<upstream_id> avoided() const {
    std::vector<upstream_id> All = Failed;
    All.insert(All.end(), Postponed.begin(), Postponed.end());
    return All;
  }
};

using agent_state = residency_agent::state;

/// Added to the time that the owner may wait, for the network round trip.
static constexpr milliseconds NetworkAllowance{500};
/// The number of engines that may fail to load the adapter before the request
/// fails.
static constexpr std::size_t MaxFailedEngines = 3;

static milliseconds remaining(const runtime_clock &Clock, time_point Deadline) {
  return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(
                                       Deadline - Clock.now()));
}

static pin_request_result resultOfReply(const host_link::PinReply &Reply) {
  switch (static_cast<result_code>(Reply.result_code())) {
  case result_code::AdapterLoadFailed:
    return pin_request_result::LoadFailed;
  case result_code::NotOwner:
    return pin_request_result::NoOwner;
  default:
    return pin_request_result::NotLoadedYet;
  }
}

static const peer_host *findPeer(const host_view &View, host_id Host) {
  const auto Found = std::ranges::find(View.Peers, Host, &peer_host::Id);
  return Found == View.Peers.end() ? nullptr : &*Found;
}

static std::uint64_t currentFence(const host_view &View, upstream_id Engine) {
  const auto Owner = View.Owners.find(Engine);
  return Owner == View.Owners.end() ? 0 : Owner->second.Fence;
}

static host_link::PinRequest makeRequest(const agent_state &State,
                                         const acquisition &Attempt,
                                         placement Placement,
                                         std::uint64_t Sequence) {
  host_link::PinRequest Request;
  *Request.mutable_sender() = State.Self;
  Request.set_engine(Placement.Engine.Value);
  Request.set_adapter(Placement.Adapter.Value);
  Request.set_nonce(Sequence);
  Request.set_adapter_name(Attempt.Request.AdapterName);
  const std::chrono::duration<double> Waited =
      State.Clock.now() - Attempt.StartedAt;
  // A repeated request is credited with the time it has already waited.
  Request.set_waiting_weight(Attempt.Request.Weight * (1 + Waited.count()));
  Request.set_wait_ms(std::min(State.Settings.PinRequestTimeout,
                               remaining(State.Clock, Attempt.Request.Deadline))
                          .count());
  return Request;
}

/// Sends a pin request to the engine's owner.
/// \throws spindle_error PeerUnreachable.
static host_link::PinReply
sendPinRequest(agent_state &State, const host_view &View, host_id Owner,
               const host_link::PinRequest &Request) {
  if (Owner == State.selfId())
    return State.handlePin(Request);
  const peer_host *Peer = findPeer(View, Owner);
  if (Peer == nullptr)
    throw spindle_error(result_code::PeerUnreachable,
                        "the engine's owner is not a live host");
  return State.Ports.Hosts.Pin(
      Peer->Link, Request, milliseconds(Request.wait_ms()) + NetworkAllowance);
}

static pin_request_result requestPinFromOwner(agent_state &State,
                                              const acquisition &Attempt,
                                              placement Placement) {
  const std::shared_ptr<const host_view> View = State.view();
  const auto Owner = View->Owners.find(Placement.Engine);
  if (Owner == View->Owners.end())
    return pin_request_result::NoOwner;
  std::uint64_t Sequence = 0;
  {
    const std::lock_guard<std::mutex> Lock(State.PinMutex);
    Sequence = beginPinRequest(State.Pins, Placement);
  }
  State.Engines.noteLoadRequested(Placement.Engine, Placement.Adapter);
  host_link::PinReply Reply;
  pin_request_result Result = pin_request_result::OwnerUnreachable;
  try {
    Reply = sendPinRequest(State, *View, Owner->second.Host,
                           makeRequest(State, Attempt, Placement, Sequence));
    Result = resultOfReply(Reply);
  } catch (const spindle_error &Error) {
    logEvent(log_event::OwnerUnreachable, {{"reason", Error.what()}});
  }
  const std::uint64_t Fence = currentFence(*State.view(), Placement.Engine);
  bool Usable = false;
  {
    const std::lock_guard<std::mutex> Lock(State.PinMutex);
    Usable = endPinRequest(State.Pins, Placement, Reply.pinned(), Reply.fence(),
                           Fence, State.Clock.now());
  }
  State.Engines.noteLoadResult(Placement.Engine, Placement.Adapter, Usable);
  return Usable ? pin_request_result::Pinned : Result;
}

static pin_lease makeLease(const std::shared_ptr<agent_state> &State,
                           placement Placement) {
  std::uint64_t Fence = 0;
  {
    const std::lock_guard<std::mutex> Lock(State->PinMutex);
    Fence = State->Pins.Pins[Placement].Fence;
  }
  std::function<void()> Release = [State, Placement] {
    const std::lock_guard<std::mutex> Lock(State->PinMutex);
    endUse(State->Pins, Placement, State->Clock.now());
  };
  // From here on the lease ends the use, even if addressOf() throws.
  pin_lease Lease(Placement.Engine, {}, Fence, std::move(Release));
  Lease.Address = State->addressOf(Placement.Engine);
  return Lease;
}

[[noreturn]] static void throwFailure(const acquisition &Attempt) {
  if (Attempt.LoadFailed)
    throw spindle_error(result_code::AdapterLoadFailed,
                        "no engine could load " + Attempt.Request.AdapterName);
  throw spindle_error(result_code::NoUpstream, "no engine is available for " +
                                                   Attempt.Request.AdapterName);
}

static void noteResult(acquisition &Attempt, upstream_id Engine,
                       pin_request_result Result) {
  if (Result == pin_request_result::LoadFailed) {
    Attempt.LoadFailed = true;
    Attempt.Failed.push_back(Engine);
  }
  if (Result == pin_request_result::NoOwner ||
      Result == pin_request_result::OwnerUnreachable)
    Attempt.Postponed.push_back(Engine);
  if (Attempt.Failed.size() >= Attempt.Request.Avoid.size() + MaxFailedEngines)
    throwFailure(Attempt);
}

/// Pauses if some engine may become available, or fails the request.
static void pauseOrFail(agent_state &State, acquisition &Attempt) {
  if (Attempt.Postponed.empty())
    throwFailure(Attempt);
  Attempt.Postponed.clear();
  sleepFor(State.Settings.OwnerRetryInterval);
}

/// Uses a pin that this host already holds, or requests one from the owner.
static pin_request_result pinAt(agent_state &State, const acquisition &Attempt,
                                placement Placement) {
  {
    const std::lock_guard<std::mutex> Lock(State.PinMutex);
    if (beginCachedUse(State.Pins, Placement, State.Clock.now()))
      return pin_request_result::Pinned;
  }
  return requestPinFromOwner(State, Attempt, Placement);
}

pin_lease residency_agent::acquire(const pin_request &Request) {
  if (!State->configuration())
    throw spindle_error(result_code::NotReady, "no configuration yet");
  acquisition Attempt{Request, Request.Avoid, {}, false, State->Clock.now()};
  bool Tried = false;
  while (!Tried || State->Clock.now() < Request.Deadline) {
    Tried = true;
    const std::optional<route_choice> Choice = State->Engines.chooseEngine(
        Request.Model, Request.Adapter, Request.PrefixHash, Request.Prompt,
        Attempt.avoided());
    if (!Choice) {
      pauseOrFail(*State, Attempt);
      continue;
    }
    const placement Placement{Choice->Engine, Request.Adapter};
    const pin_request_result Result = pinAt(*State, Attempt, Placement);
    if (Result == pin_request_result::Pinned)
      return makeLease(State, Placement);
    noteResult(Attempt, Placement.Engine, Result);
  }
  if (Attempt.LoadFailed)
    throwFailure(Attempt);
  throw spindle_error(result_code::AdapterNotLoaded,
                      Request.AdapterName +
                          " was not loaded before the deadline");
}

} // namespace spindle
