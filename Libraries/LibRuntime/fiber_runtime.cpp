#include "LibRuntime/fiber_runtime.h"

#include "LibLog/log.h"
#include "LibRuntime/event_loop_scheduler.h"

#include <atomic>
#include <cassert>
#include <exception>
#include <future>
#include <mutex>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/fiber/operations.hpp>

namespace spindle {

namespace {

using work_guard =
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

/// The state of one thread. The loop must outlive the thread's scheduler, so it
/// belongs to the runtime and not to the thread.
struct runtime_thread {
  boost::asio::io_context Loop{1};
  work_guard Guard{Loop.get_executor()};
  boost::fibers::mutex Mutex;
  boost::fibers::condition_variable Stopped;
  bool Stop = false;
  std::thread Thread;
};

struct thread_place {
  runtime_thread *Thread = nullptr;
  std::size_t Index = 0;
};

} // namespace

static thread_local thread_place Place;

struct fiber_runtime::state {
  std::vector<std::unique_ptr<runtime_thread>> Threads;
  std::atomic<std::size_t> Next{0};
};

static void runThread(runtime_thread &Thread, std::size_t Index) {
  Place = {&Thread, Index};
  boost::fibers::use_scheduling_algorithm<event_loop_scheduler>(Thread.Loop);
  std::unique_lock<boost::fibers::mutex> Lock(Thread.Mutex);
  Thread.Stopped.wait(Lock, [&Thread] { return Thread.Stop; });
}

static std::atomic<std::size_t> FailedFibers{0};

std::size_t failedFibers() { return FailedFibers.load(); }

static void runGuarded(const std::function<void()> &Work, const char *Name) {
  try {
    Work();
  } catch (const std::exception &Error) {
    ++FailedFibers;
    logEvent(log_event::FiberFailed,
             {{"fiber", Name}, {"reason", Error.what()}});
  }
}

static void startFiber(std::function<void()> Work, const char *Name) {
  boost::fibers::fiber(boost::fibers::launch::post, [Work = std::move(Work),
                                                     Name] {
    runGuarded(Work, Name);
  }).detach();
}

fiber_runtime::fiber_runtime(std::size_t ThreadCount)
    : State(std::make_unique<state>()) {
  assert(ThreadCount > 0 && "a runtime needs a thread");
  for (std::size_t Index = 0; Index < ThreadCount; ++Index) {
    State->Threads.push_back(std::make_unique<runtime_thread>());
    runtime_thread &Thread = *State->Threads.back();
    Thread.Thread = std::thread([&Thread, Index] { runThread(Thread, Index); });
  }
}

fiber_runtime::~fiber_runtime() {
  for (const std::unique_ptr<runtime_thread> &Thread : State->Threads) {
    {
      const std::lock_guard<boost::fibers::mutex> Lock(Thread->Mutex);
      Thread->Stop = true;
    }
    Thread->Stopped.notify_all();
  }
  for (const std::unique_ptr<runtime_thread> &Thread : State->Threads)
    Thread->Thread.join();
}

std::size_t fiber_runtime::threadCount() const { return State->Threads.size(); }

void fiber_runtime::spawn(std::function<void()> Work, const char *Name) {
  spawnOn(State->Next.fetch_add(1) % threadCount(), std::move(Work), Name);
}

void fiber_runtime::spawnOn(std::size_t Index, std::function<void()> Work,
                            const char *Name) {
  boost::asio::post(ioContext(Index), [Work = std::move(Work), Name]() mutable {
    startFiber(std::move(Work), Name);
  });
}

void fiber_runtime::runBlocking(std::function<void()> Work) {
  assert(!onRuntimeThread() && "a runtime thread must not wait for itself");
  std::packaged_task<void()> Task(std::move(Work));
  std::future<void> Done = Task.get_future();
  spawn([&Task] { Task(); });
  Done.get();
}

boost::asio::io_context &fiber_runtime::ioContext(std::size_t Index) {
  return State->Threads[Index]->Loop;
}

bool onRuntimeThread() { return Place.Thread != nullptr; }

boost::asio::io_context &currentIoContext() {
  assert(onRuntimeThread());
  return Place.Thread->Loop;
}

std::size_t currentThreadIndex() {
  assert(onRuntimeThread());
  return Place.Index;
}

void sleepFor(nanoseconds Duration) { boost::this_fiber::sleep_for(Duration); }

} // namespace spindle
