#ifndef PARSLEYSPINDLE_LIBRUNTIME_COMPLETION_H
#define PARSLEYSPINDLE_LIBRUNTIME_COMPLETION_H

#include <chrono>
#include <memory>

#include <boost/fiber/future.hpp>

namespace spindle {

/// A value that one fiber waits for and any thread delivers once.
template <typename value> class completion {
public:
  completion()
      : Promise(std::make_shared<boost::fibers::promise<value>>()),
        Future(Promise->get_future()) {}

  /// Returns a function that delivers the value. It may outlive this object.
  /// Call it once, from any thread.
  auto deliverer() {
    return [Promise = Promise](value Value) {
      Promise->set_value(std::move(Value));
    };
  }
  /// Waits without limit. Precondition: called once, from a fiber or thread.
  value wait() { return Future.get(); }
  /// Waits at most \p Limit; returns whether wait() will not block.
  template <typename duration> bool waitFor(const duration &Limit) {
    return Future.wait_for(Limit) == boost::fibers::future_status::ready;
  }

private:
  std::shared_ptr<boost::fibers::promise<value>> Promise;
  boost::fibers::future<value> Future;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBRUNTIME_COMPLETION_H
