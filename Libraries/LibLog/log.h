#ifndef PARSLEYSPINDLE_LIBLOG_LOG_H
#define PARSLEYSPINDLE_LIBLOG_LOG_H

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace spindle {

enum class log_severity { Debug, Info, Warning, Error };

/// The numbered log events; docs/LOG-EVENTS.md lists them.
enum class log_event : int {
#define LOG_EVENT(Number, Name, Severity, Meaning) Name = Number,
#include "LibLog/LogEvents.def"
#undef LOG_EVENT
};

/// What a log event stands for.
struct log_event_info {
  log_event Event;
  std::string_view Name;
  log_severity Severity;
  std::string_view Meaning;
};

/// A named value beside an event.
struct log_field {
  std::string_view Name;
  std::string Value;
};

/// Where and how events are written.
struct log_settings {
  log_severity Least = log_severity::Info;
  /// One JSON object a line rather than text.
  bool AsJson = false;
};

/// Lists every event in ascending order. Thread-safe.
std::span<const log_event_info> logEvents();
/// Reads "debug", "info", "warning" or "error"; returns false for other text.
/// Thread-safe.
bool parseSeverity(std::string_view Text, log_severity &Severity);
/// Sets up logging to standard output. Lines that a slow reader leaves no room
/// for are left out and counted; they never block the writer. Call once, before
/// other threads start.
void startLogging(const log_settings &Settings);
/// Replaces the settings of logging that has started. Thread-safe.
void setLogging(const log_settings &Settings);
/// Writes one event if its severity is high enough. Thread-safe, never throws.
void logEvent(log_event Event,
              std::initializer_list<log_field> Fields) noexcept;

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBLOG_LOG_H
