#ifndef PARSLEYSPINDLE_SPINDLECTL_OPERATOR_CONTEXT_H
#define PARSLEYSPINDLE_SPINDLECTL_OPERATOR_CONTEXT_H

#include "LibCore/runtime_clock.h"
#include "LibPlatform/platform_port.h"
#include "LibSettings/lease_settings.h"

#include <functional>
#include <iosfwd>
#include <string>

namespace spindle {

/// The commands' access to the platform, files and the operator.
struct operator_context {
  const runtime_clock &Clock;
  platform_port Platform;
  std::ostream &Out;
  std::ostream &Errors;
  /// Shows a question and returns whether the operator agrees.
  std::function<bool(const std::string &Question)> Confirm = {};
  std::function<void(milliseconds)> Sleep = {};
  /// \throws spindle_error InvalidIntent if the file can't be read.
  std::function<std::string(const std::string &Path)> ReadFile = {};
  /// Returns the configuration of the forwarding interface from its store; not
  /// set if no store is named.
  /// \throws spindle_error if it can't be read.
  std::function<std::string()> ReadInForce = {};
  std::function<void(const std::string &Path, const std::string &Text)>
      WriteFile = {};
  /// Returns as many random bytes in hexadecimal.
  std::function<std::string(std::size_t Bytes)> RandomHex = {};
  /// The operator's name in the audit trail.
  std::string Operator = {};
  bool Json = false;
  /// The hosts' lease times.
  lease_settings Lease = {};
  /// How long to wait for hosts to put a change in force.
  milliseconds WaitLimit{30'000};
};

} // namespace spindle

#endif // PARSLEYSPINDLE_SPINDLECTL_OPERATOR_CONTEXT_H
