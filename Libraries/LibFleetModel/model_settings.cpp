#include "LibFleetModel/model_settings.h"

#include "LibSettings/field_table.h"

namespace spindle {

static const field_table<model_fleet> &fleetFields() {
  using record = model_fleet;
  static const field_table<record> Table = {
      integerField<record>("zones", &record::Zones, "", 1, 20, "Zones."),
      integerField<record>("hostsPerZone", &record::HostsPerZone, "", 1, 100,
                           "Hosts in each zone."),
      integerField<record>("enginesPerZone", &record::EnginesPerZone, "", 1,
                           200, "Engines in each zone."),
      integerField<record>("batchSlots", &record::BatchSlots, "requests", 1,
                           4'096, "Requests that an engine runs at once."),
      integerField<record>("memoryTokens", &record::MemoryTokens, "tokens", 1,
                           100'000'000,
                           "Tokens of running requests and cached prompts."),
      numberField<record>("stepMilliseconds", &record::StepMilliseconds, "ms",
                          0.01, 1'000, "A step of an idle engine."),
      numberField<record>("perRequestMilliseconds",
                          &record::PerRequestMilliseconds, "ms", 0, 100,
                          "Time that each running request adds to a step."),
      numberField<record>("readTokensPerMillisecond",
                          &record::ReadTokensPerMillisecond, "tokens/ms", 0.1,
                          10'000, "How fast prompts are prefilled."),
      integerField<record>("pieceTokens", &record::PieceTokens, "tokens", 1,
                           1'000'000, "Tokens that are prefilled in one step."),
      integerField<record>("adapterPlaces", &record::AdapterPlaces, "adapters",
                           1, 1'000, "Adapters that an engine holds."),
      durationField<record>("fetchMs", &record::FetchTime, 1, 600'000,
                            "A fetch from the weight store."),
      integerField<record>("fetchesAtFullSpeed", &record::FetchesAtFullSpeed,
                           "fetches", 1, 10'000,
                           "More fetches at once slow each other."),
      integerField<record>("copies", &record::Copies, "adapters", 0, 100'000,
                           "Adapters that an engine keeps copies of."),
      durationField<record>("copyMs", &record::CopyTime, 0, 600'000,
                            "A load from such a copy."),
      numberField<record>("zoneMilliseconds", &record::ZoneMilliseconds, "ms",
                          0, 1'000, "The latency of a message between zones."),
  };
  return Table;
}

static const field_table<model_kind> &kindFields() {
  using record = model_kind;
  static const field_table<record> Table = {
      textField<record>("name", &record::Name, "The kind.", true),
      numberField<record>("perSecond", &record::PerSecond, "requests/s", 0,
                          100'000, "Arrivals."),
      integerField<record>(
          "sharedTokens", &record::SharedTokens, "tokens", 0, 1'000'000,
          "The first part, which an adapter's requests share."),
      integerField<record>("ownTokens", &record::OwnTokens, "tokens", 1,
                           1'000'000, "The rest of the prompt."),
      integerField<record>("events", &record::Events, "", 1, 100'000,
                           "Events of an answer."),
      integerField<record>("tokensPerEvent", &record::TokensPerEvent, "tokens",
                           1, 1'000, "Tokens in an event."),
      durationField<record>("objectiveMs", &record::Objective, 1, 600'000,
                            "Expected latency to the first event."),
      durationField<record>("gapMs", &record::Gap, 1, 600'000,
                            "The longest pause of an answer in time."),
      durationField<record>("deadlineMs", &record::Deadline, 1, 600'000,
                            "When callers leave."),
      numberField<record>("worth", &record::Worth, "", 0, 1'000,
                          "An answer in time."),
      numberField<record>("lateWorth", &record::LateWorth, "", 0, 1'000,
                          "An answer that is late."),
      integerField<record>("urgency", &record::Urgency, "", 0, 9,
                           "0 is the most urgent."),
      integerField<record>("retries", &record::Retries, "", 0, 10,
                           "Retries after a refusal."),
  };
  return Table;
}

static const field_table<model_phase> &phaseFields() {
  using record = model_phase;
  static const field_table<record> Table = {
      numberField<record>("atSeconds", &record::AtSeconds, "s", 0, 3'600,
                          "When it begins.", true),
      numberField<record>("forSeconds", &record::ForSeconds, "s", 0.1, 3'600,
                          "How long it lasts."),
      numberField<record>("rateFactor", &record::RateFactor, "", 0, 1'000,
                          "Times the arrivals."),
      numberField<record>("hotShare", &record::HotShare, "", 0, 1,
                          "Requests for one adapter."),
      numberField<record>("coldShare", &record::ColdShare, "", 0, 1,
                          "Requests whose adapter is drawn uniformly."),
      numberField<record>("repeatShare", &record::RepeatShare, "", 0, 1,
                          "Callers that retry at once, three times."),
      numberField<record>("enginesGone", &record::EnginesGone, "", 0, 1,
                          "Engines that are gone."),
      flagField<record>("zoneAlone", &record::ZoneAlone,
                        "The first zone is cut off from the others."),
  };
  return Table;
}

static const field_table<model_pattern> &patternFields() {
  using record = model_pattern;
  static const field_table<record> Table = {
      textField<record>("name", &record::Name, "The pattern.", true),
      textField<record>("meaning", &record::Meaning, "What it shows."),
      numberField<record>("seconds", &record::Seconds, "s", 1, 3'600,
                          "How long requests arrive."),
      numberField<record>("rateFactor", &record::RateFactor, "", 0, 1'000,
                          "Times the arrivals."),
      recordListField<record>("phases", &record::Phases, phaseFields(),
                              "Parts of the run with another load or fleet."),
  };
  return Table;
}

static const field_table<model_settings> &settingsFields() {
  using record = model_settings;
  static const field_table<record> Table = {
      sectionField<record>("fleet", &record::Fleet, fleetFields(),
                           "Hosts and engines."),
      recordListField<record>("kinds", &record::Kinds, kindFields(),
                              "Kinds of requests.", true),
      integerField<record>("adapters", &record::Adapters, "", 1, 1'000'000,
                           "Adapters of the one model."),
      numberField<record>("zipfExponent", &record::ZipfExponent, "", 0, 5,
                          "How skewed their popularity is."),
      integerField<record>("seed", &record::Seed, "", 1, 1'000'000'000,
                           "The seed of all random choices."),
      recordListField<record>("patterns", &record::Patterns, patternFields(),
                              "The loads.", true),
  };
  return Table;
}

model_settings parseModelSettings(std::string_view Text,
                                  std::string_view FileName) {
  return readSettingsFile(
      Text, FileName, settingsFields(),
      [](const model_settings &Settings, std::vector<input_problem> &Problems) {
        if (Problems.empty() && Settings.Kinds.empty())
          Problems.push_back({"kinds", "must name a kind"});
      });
}

std::string describeModelSettings() {
  std::vector<std::pair<field_description, std::string>> Lines;
  describeTable(settingsFields(), "", Lines);
  return writeReference(Lines);
}

} // namespace spindle
