#ifndef PARSLEYSPINDLE_TESTS_ENDTOEND_CHILD_PROCESS_H
#define PARSLEYSPINDLE_TESTS_ENDTOEND_CHILD_PROCESS_H

#include "LibCore/endpoint.h"

#include <span>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace spindle {

/// A program of the project that a test has started.
class child_process {
public:
  /// Starts \p Program, of the build's folder of programs. Its standard error
  /// goes to the test's.
  child_process(const std::string &Program,
                const std::vector<std::string> &Arguments);
  /// Ends the program at once.
  ~child_process();
  child_process(const child_process &) = delete;
  child_process &operator=(const child_process &) = delete;

  /// The next line of standard output; empty at its end.
  std::string readLine();
  /// The next line that contains \p Text; empty if the output ends before.
  std::string readLineWith(std::string_view Text);
  /// Waits for the line "listening ADDRESS..." and returns its addresses.
  std::vector<endpoint> readAddresses();
  /// Reads all that the program prints until it ends.
  std::string readAll();
  void signal(int Number) const;
  /// Waits until the program ends; returns its exit code, or -1 if a signal
  /// ended it.
  int wait();

private:
  pid_t Process = -1;
  int Output = -1;
  bool Ended = false;
  int ExitCode = -1;
};

/// Runs \p Program to its end.
struct program_result {
  int ExitCode = -1;
  std::string Output;
};
program_result runProgram(const std::string &Program,
                          const std::vector<std::string> &Arguments);

} // namespace spindle

#endif // PARSLEYSPINDLE_TESTS_ENDTOEND_CHILD_PROCESS_H
