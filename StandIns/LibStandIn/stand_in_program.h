#ifndef PARSLEYSPINDLE_STANDINS_LIBSTANDIN_STAND_IN_PROGRAM_H
#define PARSLEYSPINDLE_STANDINS_LIBSTANDIN_STAND_IN_PROGRAM_H

#include "LibCore/endpoint.h"
#include "LibHTTP/http_server.h"

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace spindle {

/// One command line option of a stand-in. Exactly one of the pointers is set;
/// what it points to holds the default.
struct stand_in_option {
  const char *Name = nullptr;
  const char *Help = nullptr;
  std::string *Text = nullptr;
  int *Number = nullptr;
  double *Real = nullptr;
  bool *Flag = nullptr;
};

/// The options that every stand-in has on its command line.
struct stand_in_settings {
  /// Where to listen; port 0 lets the kernel choose.
  endpoint Listen{"127.0.0.1", 0};
  std::size_t Threads = 2;
};

/// Reads the command line: --listen, --threads, --help and \p Options.
/// \throws spindle_error InvalidSettings that names the option.
/// Precondition: called once, before other threads start.
stand_in_settings
readStandInSettings(int Count, const char **Arguments,
                    const std::vector<stand_in_option> &Options);

/// Makes a stand-in's handler; it runs on the given runtime.
using stand_in_maker = std::function<http_handler(fiber_runtime &)>;

/// Serves until SIGTERM or SIGINT, after printing "listening ADDRESS:PORT",
/// and returns the process's exit code.
/// Precondition: no other threads are running yet.
int runStandIn(const stand_in_settings &Settings, const stand_in_maker &Maker);

/// Runs \p Main and reports what it throws on standard error.
int guardMain(const std::function<int()> &Main);

} // namespace spindle

#endif // PARSLEYSPINDLE_STANDINS_LIBSTANDIN_STAND_IN_PROGRAM_H
