#include "LibConfiguration/validate_intent.h"
#include "LibCore/digest.h"
#include "LibCore/result_code.h"
#include "spindlectl/change_flow.h"
#include "spindlectl/commands.h"

#include <algorithm>
#include <ostream>

namespace spindle {

static constexpr std::size_t NonceBytes = 16;
static constexpr std::size_t KeyBytes = 32;

static stored_configuration requireStored(operator_context &Context) {
  std::optional<stored_configuration> Stored =
      readConfiguration(Context.Platform);
  if (!Stored)
    throw spindle_error(result_code::InvalidIntent,
                        "no configuration is in force yet");
  return *std::move(Stored);
}

/// Reads a key from a file, without the line's end, or makes one.
static std::string takeKey(operator_context &Context,
                           const std::string &KeyFile) {
  if (KeyFile.empty())
    return Context.RandomHex(KeyBytes);
  std::string Key = Context.ReadFile(KeyFile);
  while (!Key.empty() && (Key.back() == '\n' || Key.back() == '\r'))
    Key.pop_back();
  if (Key.empty())
    throw spindle_error(result_code::InvalidIntent, KeyFile + ": empty key");
  return Key;
}

exit_code grantKey(operator_context &Context, const std::string &Customer,
                   const std::string &Name, const std::string &KeyFile) {
  const stored_configuration Stored = requireStored(Context);
  const std::string Key = takeKey(Context, KeyFile);
  intent Intent = Stored.Intent;
  Intent.Keys.push_back({Name, Customer, sha256Hex(Key)});
  const std::vector<input_problem> Problems = validateIntent(Intent);
  if (!Problems.empty())
    throw spindle_error(result_code::InvalidIntent, Problems.front().Message);
  const configuration_plan Plan =
      makePlan(Stored, std::move(Intent), Context.RandomHex(NonceBytes));
  const std::optional<configuration_head> Head = confirmAndApply(Context, Plan);
  if (!Head)
    return exit_code::Refused;
  if (KeyFile.empty())
    Context.Out << (Context.Json ? "{\"key\":\"" + Key + "\"}"
                                 : "key, shown only now: " + Key)
                << "\n";
  return waitUntilInForce(Context, Head->Version, Plan.Intent.Zones,
                          std::nullopt);
}

/// After how long a host that is cut off refuses the customer's keys, if ever.
static std::optional<seconds> isolationLimit(const intent &Intent,
                                             const std::string &Customer) {
  for (const customer_declaration &Declared : Intent.Customers)
    if (Declared.Name == Customer &&
        Declared.WhenIsolated == isolated_key_policy::Refuse)
      return Declared.IsolationLimit;
  return std::nullopt;
}

exit_code withdrawKey(operator_context &Context, const std::string &Name) {
  const stored_configuration Stored = requireStored(Context);
  intent Intent = Stored.Intent;
  const auto Found =
      std::find_if(Intent.Keys.begin(), Intent.Keys.end(),
                   [&Name](const key_grant &Key) { return Key.Name == Name; });
  if (Found == Intent.Keys.end())
    throw spindle_error(result_code::InvalidIntent,
                        "no key is called \"" + Name + "\"");
  const std::optional<seconds> Limit = isolationLimit(Intent, Found->Customer);
  Intent.Keys.erase(Found);
  const configuration_plan Plan =
      makePlan(Stored, std::move(Intent), Context.RandomHex(NonceBytes));
  const std::optional<configuration_head> Head = confirmAndApply(Context, Plan);
  if (!Head)
    return exit_code::Refused;
  return waitUntilInForce(Context, Head->Version, Plan.Intent.Zones, Limit);
}

} // namespace spindle
