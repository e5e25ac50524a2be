#include "settings_watch.h"

#include "LibCore/result_code.h"
#include "LibLog/log.h"

#include <fstream>
#include <sstream>

namespace spindle {

static constexpr milliseconds LookPause{2'000};

static std::string readText(const std::string &File) {
  std::ifstream Stream(File);
  if (!Stream)
    throw spindle_error(result_code::InvalidSettings,
                        "settings file \"" + File + "\" can't be read");
  std::stringstream Text;
  Text << Stream.rdbuf();
  return Text.str();
}

host_settings readSettings(const std::string &File) {
  return parseHostSettings(readText(File), File);
}

settings_watch::settings_watch(const runtime_clock &Clock, std::string File,
                               const host_settings &Settings)
    : Clock(Clock), File(std::move(File)), InForce(Settings),
      LookedAt(Clock.now()) {
  try {
    Text = readText(this->File);
  } catch (const spindle_error &Error) {
    logEvent(log_event::SettingsRefused, {{"reason", Error.what()}});
  }
}

void settings_watch::look(bool Asked) {
  if (!Asked && Clock.now() - LookedAt < LookPause)
    return;
  LookedAt = Clock.now();
  try {
    std::string Now = readText(File);
    if (Now == Text) {
      if (Asked)
        logEvent(log_event::SettingsUnchanged, {{"file", File}});
      return;
    }
    Text = std::move(Now);
    const host_settings Next = parseHostSettings(Text, File);
    setLogging(Next.Log);
    const std::string Restart = fieldsThatNeedRestart(InForce, Next);
    InForce.Log = Next.Log;
    logEvent(log_event::SettingsReloaded,
             {{"file", File}, {"after_restart", Restart}});
  } catch (const spindle_error &Error) {
    logEvent(log_event::SettingsRefused, {{"reason", Error.what()}});
  }
}

} // namespace spindle
