#include "load_targets.h"

#include "LibSettings/field_table.h"

namespace spindle {

static const field_table<load_target> &targetFields() {
  using record = load_target;
  static const field_table<record> Table = {
      textField<record>("name", &record::Name, "The program's name.", true),
      endpointField<record>("address", &record::Address, "Where it listens.",
                            true),
      integerField<record>("pid", &record::ProcessId, "", 0, 1 << 30,
                           "Its process; 0: it is not stopped."),
  };
  return Table;
}

static const field_table<load_targets> &targetsFields() {
  using record = load_targets;
  static const field_table<record> Table = {
      recordListField<record>("hosts", &record::Hosts, targetFields(),
                              "The hosts.", true),
      recordListField<record>("engines", &record::Engines, targetFields(),
                              "The engines."),
      recordListField<record>("services", &record::Services, targetFields(),
                              "The plain services."),
      recordListField<record>("platforms", &record::Platforms, targetFields(),
                              "The platform."),
  };
  return Table;
}

load_targets parseTargets(std::string_view Text, std::string_view FileName) {
  return readSettingsFile(
      Text, FileName, targetsFields(),
      [](const load_targets &Targets, std::vector<input_problem> &Problems) {
        if (Targets.Hosts.empty())
          Problems.push_back({"hosts", "must not be empty"});
      });
}

const load_target *findTarget(const load_targets &Targets,
                              std::string_view Name) {
  for (const std::vector<load_target> *const List :
       {&Targets.Hosts, &Targets.Engines, &Targets.Services,
        &Targets.Platforms})
    for (const load_target &Target : *List)
      if (Target.Name == Name)
        return &Target;
  return nullptr;
}

} // namespace spindle
