#include "LibLoad/load_scenario.h"

#include "LibSettings/field_table.h"

namespace spindle {

static const field_table<load_customer> &customerFields() {
  using record = load_customer;
  static const field_table<record> Table = {
      textField<record>("name", &record::Name, "The customer.", true),
      textField<record>("key", &record::Key, "The callers' key.", true),
      textField<record>("adapterPrefix", &record::AdapterPrefix,
                        "The start of its adapters' names.", true),
      integerField<record>("adapters", &record::Adapters, "", 1, 1'000'000,
                           "How many adapters it has."),
      textField<record>("version", &record::Version, "Their version."),
      numberField<record>("part", &record::Part, "", 0, 1e6,
                          "Its part of the arrivals."),
      numberField<record>("ratePerSecond", &record::RatePerSecond, "tokens/s",
                          0.001, 1e9, "Its rate, as in the intent."),
      numberField<record>("burst", &record::BurstTokens, "tokens", 1, 1e12,
                          "Its burst, as in the intent."),
  };
  return Table;
}

static const field_table<load_class> &classFields() {
  using record = load_class;
  static const field_table<record> Table = {
      choiceField<record>("class", &record::Class,
                          {{"rush", priority_class::Rush},
                           {"chat", priority_class::Chat},
                           {"plain", priority_class::Plain},
                           {"batch", priority_class::Batch}},
                          "The class.", true),
      numberField<record>("part", &record::Part, "", 0, 1e6,
                          "Its part of the arrivals."),
      numberField<record>("promptTokens", &record::PromptTokens, "tokens", 1,
                          1e6, "The mean length of a prompt."),
      numberField<record>("answerTokens", &record::AnswerTokens, "tokens", 1,
                          1e6, "The mean length of an answer."),
      flagField<record>("preamble", &record::Preamble,
                        "Whether prompts begin with the common preamble."),
  };
  return Table;
}

static const field_table<load_event> &eventFields() {
  using record = load_event;
  static const field_table<record> Table = {
      numberField<record>("atSeconds", &record::AtSeconds, "s", 0, 3'600,
                          "When.", true),
      textField<record>("target", &record::Target,
                        "The program's name in the list of targets.", true),
      makeField<record>(
          {"control", "object", "", "",
           "The switches of a stand-in; none: SIGTERM.", false},
          &record::Control,
          [](const nlohmann::json &Value) { return Value.dump(); },
          [](const std::string &Text) { return Text; }),
  };
  return Table;
}

static const field_table<load_scenario> &scenarioFields() {
  using record = load_scenario;
  static const field_table<record> Table = {
      textField<record>("name", &record::Name, "The scenario.", true),
      textField<record>("meaning", &record::Meaning, "What it shows."),
      numberField<record>("seconds", &record::Seconds, "s", 0.1, 600,
                          "How long requests arrive."),
      numberField<record>("requestsPerSecond", &record::RequestsPerSecond,
                          "requests/s", 0, 1e5, "Arrivals of completions."),
      numberField<record>("ordersPerSecond", &record::OrdersPerSecond,
                          "requests/s", 0, 1e5, "Arrivals of orders."),
      numberField<record>("stockChecksPerSecond", &record::StockChecksPerSecond,
                          "requests/s", 0, 1e5,
                          "Arrivals of idempotent calls."),
      numberField<record>("crashesPerSecond", &record::CrashesPerSecond,
                          "requests/s", 0, 100,
                          "Repeats of one request that crashes engines."),
      numberField<record>("zipfExponent", &record::ZipfExponent, "", 0, 5,
                          "How skewed the popularity of adapters is."),
      numberField<record>("driftSeconds", &record::DriftSeconds, "s", 0, 3'600,
                          "Time between changes of popularity; 0: never."),
      integerField<record>("driftRanks", &record::DriftRanks, "", 0, 100'000,
                           "How far popularity moves at a change."),
      integerField<record>("heavyCustomer", &record::HeavyCustomer, "", -1,
                           1'000,
                           "The customer, from 0, that sends more; -1: none."),
      numberField<record>("heavyTimes", &record::HeavyTimes, "", 0, 1'000,
                          "How many times its part it sends."),
      numberField<record>("firstHostPart", &record::FirstHostPart, "", 0, 1,
                          "The part that goes to the first host in any case."),
      recordListField<record>("events", &record::Events, eventFields(),
                              "What happens to programs meanwhile."),
  };
  return Table;
}

static const field_table<load_scenarios> &fileFields() {
  using record = load_scenarios;
  static const field_table<record> Table = {
      integerField<record>("seed", &record::Seed, "", 0, 1'000'000'000,
                           "The seed of all random choices."),
      integerField<record>("preambleTokens", &record::PreambleTokens, "tokens",
                           0, 100'000, "The length of the common preamble."),
      textField<record>("crashMark", &record::CrashMark,
                        "The text that crashes an engine stand-in."),
      textField<record>("orderPath", &record::OrderPath, "Where orders go."),
      textField<record>("stockPath", &record::StockPath,
                        "Where stock checks go."),
      recordListField<record>("customers", &record::Customers, customerFields(),
                              "The customers.", true),
      recordListField<record>("classes", &record::Classes, classFields(),
                              "The classes.", true),
      recordListField<record>("scenarios", &record::Scenarios, scenarioFields(),
                              "The scenarios.", true),
  };
  return Table;
}

static void checkScenarios(const load_scenarios &Scenarios,
                           std::vector<input_problem> &Problems) {
  if (Scenarios.Customers.empty())
    Problems.push_back({"customers", "must not be empty"});
  if (Scenarios.Classes.empty())
    Problems.push_back({"classes", "must not be empty"});
  for (std::size_t Index = 0; Index < Scenarios.Scenarios.size(); ++Index)
    if (Scenarios.Scenarios[Index].HeavyCustomer >=
        static_cast<int>(Scenarios.Customers.size()))
      Problems.push_back(
          {"scenarios[" + std::to_string(Index) + "].heavyCustomer",
           "names no customer"});
}

load_scenarios parseScenarios(std::string_view Text,
                              std::string_view FileName) {
  return readSettingsFile(Text, FileName, fileFields(), checkScenarios);
}

} // namespace spindle
