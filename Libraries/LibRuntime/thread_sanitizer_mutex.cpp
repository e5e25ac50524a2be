// The distribution's Boost.Fiber isn't built with ThreadSanitizer, which
// therefore doesn't detect that its mutex orders the work of two threads. In a
// build with it, the linker puts these functions in place of the mutex's own.
// CMakeLists.txt passes their names to the linker.
#if defined(__SANITIZE_THREAD__)

#include <sanitizer/tsan_interface.h>

extern "C" {

void __real__ZN5boost6fibers5mutex4lockEv(void *Mutex);
bool __real__ZN5boost6fibers5mutex8try_lockEv(void *Mutex);
void __real__ZN5boost6fibers5mutex6unlockEv(void *Mutex);

void __wrap__ZN5boost6fibers5mutex4lockEv(void *Mutex) {
  __real__ZN5boost6fibers5mutex4lockEv(Mutex);
  __tsan_acquire(Mutex);
}

bool __wrap__ZN5boost6fibers5mutex8try_lockEv(void *Mutex) {
  const bool Locked = __real__ZN5boost6fibers5mutex8try_lockEv(Mutex);
  if (Locked)
    __tsan_acquire(Mutex);
  return Locked;
}

void __wrap__ZN5boost6fibers5mutex6unlockEv(void *Mutex) {
  __tsan_release(Mutex);
  __real__ZN5boost6fibers5mutex6unlockEv(Mutex);
}

} // extern "C"

#endif // defined(__SANITIZE_THREAD__)
