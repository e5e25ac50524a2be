#ifndef PARSLEYSPINDLE_LIBGATEWAY_ENGINE_ORDER_PORT_H
#define PARSLEYSPINDLE_LIBGATEWAY_ENGINE_ORDER_PORT_H

#include "LibGateway/upstream_entry.h"

#include <functional>
#include <optional>

namespace spindle {

enum class order_action { Load, Unload };

/// An order to a model engine to load or unload an adapter.
struct adapter_order {
  order_action Action = order_action::Load;
  versioned_adapter Adapter;
  /// If set, the engine refuses the order unless it has accepted exactly this
  /// many orders.
  std::optional<std::uint64_t> ExpectedCount;
  /// The name of the host that sends the order.
  std::string Holder;
  std::uint64_t FencingToken = 0;
};

enum class order_outcome {
  /// The engine is executing the order.
  Started,
  /// The engine is already in the requested state.
  Done,
  /// The engine has accepted another order in between or is executing one.
  OrderCountMismatch,
  /// Another host has sent orders with a higher fencing token.
  Fenced,
  /// The address now belongs to a different upstream.
  WrongUpstream,
  Refused,
  /// No answer arrived; the engine may still execute the order, even later.
  Unknown,
};

/// Returns a short description of the outcome for logs. Thread-safe.
std::string_view toText(order_outcome Outcome);

/// The state that an engine reports. It may be a few hundred milliseconds old.
struct engine_state {
  std::vector<versioned_adapter> Loaded;
  std::vector<versioned_adapter> Loading;
  std::uint64_t OrderCount = 0;
  std::int64_t StartedAt = 0;
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
};

/// The interface through which a host sends orders to model engines and reads
/// their state. Each function blocks the calling fiber for at most \p Limit.
/// Thread-safe.
struct engine_order_port {
  std::function<order_outcome(const upstream_entry &, const adapter_order &,
                              milliseconds Limit)>
      Order;
  /// \throws spindle_error if no answer arrived.
  std::function<engine_state(const upstream_entry &, milliseconds Limit)>
      Report;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_ENGINE_ORDER_PORT_H
