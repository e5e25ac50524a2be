#ifndef PARSLEYSPINDLE_LIBGATEWAY_ORDER_PORT_H
#define PARSLEYSPINDLE_LIBGATEWAY_ORDER_PORT_H

#include "LibGateway/upstream_entry.h"

#include <functional>
#include <optional>

namespace spindle {

enum class order_action { Load, Unload };

/// An order to a model engine.
struct adapter_order {
  order_action Action = order_action::Load;
  versioned_adapter Adapter;
  /// The engine refuses the order if it has accepted another number of orders.
  std::optional<std::uint64_t> ExpectedCount;
  std::string Holder;
  std::uint64_t Fence = 0;
};

enum class order_outcome {
  /// The engine carries it out now.
  Started,
  /// What it asks for is so already.
  Done,
  /// Another order came between, or one is being carried out.
  CountDiffers,
  /// Another host has given orders under a higher fencing token.
  Fenced,
  /// The address belongs to another upstream now.
  OtherUpstream,
  Refused,
  /// No answer came: it may be carried out, also later.
  Unknown,
};

/// The outcome in a word, for logs. Thread-safe.
std::string_view toText(order_outcome Outcome);

/// What an engine says of itself. It lags by some hundred milliseconds.
struct engine_state {
  std::vector<versioned_adapter> Loaded;
  std::vector<versioned_adapter> Loading;
  std::uint64_t OrderCount = 0;
  std::int64_t StartedAt = 0;
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
};

/// Orders and questions to model engines. Each function blocks the calling
/// fiber for at most \p Limit. Thread-safe.
struct order_port {
  std::function<order_outcome(const upstream_entry &, const adapter_order &,
                              milliseconds Limit)>
      Order;
  /// \throws spindle_error if no answer came.
  std::function<engine_state(const upstream_entry &, milliseconds Limit)>
      Report;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_ORDER_PORT_H
