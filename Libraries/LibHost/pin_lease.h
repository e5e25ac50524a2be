#ifndef PARSLEYSPINDLE_LIBHOST_PIN_LEASE_H
#define PARSLEYSPINDLE_LIBHOST_PIN_LEASE_H

#include "LibCore/endpoint.h"
#include "LibCore/strong_id.h"

#include <cstdint>
#include <functional>
#include <utility>

namespace spindle {

/// A pin in use by one request: the adapter isn't evicted from the engine
/// during the lease's lifetime. Movable; the release is thread-safe.
class pin_lease {
public:
  pin_lease() = default;
  pin_lease(upstream_id Engine, endpoint Address, std::uint64_t Fence,
            std::function<void()> Release)
      : Engine(Engine), Address(std::move(Address)), Fence(Fence),
        Release(std::move(Release)) {}
  ~pin_lease() { release(); }
  pin_lease(const pin_lease &) = delete;
  pin_lease &operator=(const pin_lease &) = delete;
  pin_lease(pin_lease &&Other) noexcept
      : Engine(Other.Engine), Address(std::move(Other.Address)),
        Fence(Other.Fence), Release(std::exchange(Other.Release, nullptr)) {}
  pin_lease &operator=(pin_lease &&Other) noexcept {
    if (this == &Other)
      return *this;
    release();
    Engine = Other.Engine;
    Address = std::move(Other.Address);
    Fence = Other.Fence;
    Release = std::exchange(Other.Release, nullptr);
    return *this;
  }

  /// Ends the use of the pin. Later calls do nothing.
  void release() {
    if (Release)
      std::exchange(Release, nullptr)();
  }

  upstream_id Engine;
  endpoint Address;
  /// The fencing number of the owner that granted the pin.
  std::uint64_t Fence = 0;

private:
  std::function<void()> Release;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_PIN_LEASE_H
