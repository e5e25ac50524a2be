#include "LibScheduling/queue_settings.h"

namespace spindle {

queue_settings queueSettingsOf(const policy_declaration &Policy) {
  queue_settings Settings;
  if (Policy.Queueing == "fifo")
    Settings.Policy = queueing_policy::Fifo;
  Settings.QueueLimit = Policy.QueueLimit;
  Settings.QueueTimeout = Policy.QueueTimeout;
  Settings.AgeingStep = Policy.AgeingStep;
  return Settings;
}

time_point queueDeadline(const queue_settings &Settings,
                         priority_class Priority, time_point Now) {
  const int Classes = static_cast<int>(Priority);
  return Now + Settings.QueueTimeout + Classes * Settings.AgeingStep;
}

} // namespace spindle
