#include "LibConfiguration/configuration_codec.h"

#include "LibConfiguration/intent_text.h"
#include "LibConfiguration/validate_intent.h"
#include "LibCore/bounded_json.h"
#include "LibCore/digest.h"
#include "LibCore/result_code.h"
#include "LibPlatform/platform_port.h"

#include <bit>

#include <nlohmann/json.hpp>

namespace spindle {

using nlohmann::json;

/// Average number of records of a list in one part. Changing one adapter
/// rewrites about 90 KB, changing one key at most about 40 KB.
static constexpr std::size_t AdaptersPerPart = 1'000;
static constexpr std::size_t KeysPerPart = 256;
static constexpr std::size_t UpstreamsPerPart = 1'024;
static constexpr std::size_t CustomersPerPart = 1'024;

static void addPart(encoded_intent &Encoded, json &Digests,
                    const std::string &Text) {
  const std::size_t Size = writePartBody(Text).size();
  if (Size > PlatformValueLimitBytes)
    throw spindle_error(result_code::PlatformTooLarge,
                        "a part of the configuration has " +
                            std::to_string(Size) + " bytes");
  const std::string Digest = sha256Hex(Text);
  Encoded.Parts.emplace(Digest, Text);
  Digests.push_back(Digest);
}

/// Splits a list by the hash of the record names, so that adding or removing
/// a record usually leaves the other parts unchanged.
template <typename record>
static void addList(encoded_intent &Encoded, json &Digests,
                    const std::vector<record> &Records,
                    std::vector<record> intent::*Member,
                    std::size_t RecordsPerPart) {
  const std::size_t Count =
      std::bit_ceil((Records.size() + RecordsPerPart - 1) / RecordsPerPart);
  std::vector<intent> Parts(Count);
  for (const record &Record : Records)
    (Parts[hashName(Record.Name) % Count].*Member).push_back(Record);
  for (intent &Part : Parts)
    if (!(Part.*Member).empty())
      addPart(Encoded, Digests, writeIntent(std::move(Part)));
}

encoded_intent encodeIntent(const intent &Intent) {
  encoded_intent Encoded;
  json Digests = json::array();
  intent Frame;
  Frame.Zones = Intent.Zones;
  Frame.Routes = Intent.Routes;
  Frame.Policy = Intent.Policy;
  addPart(Encoded, Digests, writeIntent(std::move(Frame)));
  addList(Encoded, Digests, Intent.Customers, &intent::Customers,
          CustomersPerPart);
  addList(Encoded, Digests, Intent.Keys, &intent::Keys, KeysPerPart);
  addList(Encoded, Digests, Intent.Upstreams, &intent::Upstreams,
          UpstreamsPerPart);
  addList(Encoded, Digests, Intent.Adapters, &intent::Adapters,
          AdaptersPerPart);
  const std::string Index = json{{"parts", Digests}}.dump();
  Encoded.Index = sha256Hex(Index);
  Encoded.Parts.emplace(Encoded.Index, Index);
  return Encoded;
}

std::string writePartBody(std::string_view Text) {
  return json{{"content", Text}}.dump();
}

std::string readPartBody(std::string_view Body) {
  try {
    return parseBoundedJson(Body).at("content").get<std::string>();
  } catch (const json::exception &Error) {
    throw spindle_error(result_code::ConfigurationCorrupt,
                        std::string("configuration part: ") + Error.what());
  }
}

void checkPart(std::string_view Digest, std::string_view Text) {
  if (sha256Hex(Text) != Digest)
    throw spindle_error(result_code::ConfigurationCorrupt,
                        "part " + std::string(Digest) +
                            " does not match its digest");
}

std::vector<std::string> readIndex(std::string_view Text) {
  try {
    return parseBoundedJson(Text).at("parts").get<std::vector<std::string>>();
  } catch (const json::exception &Error) {
    throw spindle_error(result_code::ConfigurationCorrupt,
                        std::string("configuration index: ") + Error.what());
  }
}

static std::string fetchChecked(const std::string &Digest,
                                const part_source &Source) {
  std::string Text = Source(Digest);
  checkPart(Digest, Text);
  return Text;
}

template <typename record>
static void append(std::vector<record> &List, std::vector<record> &More) {
  List.insert(List.end(), std::make_move_iterator(More.begin()),
              std::make_move_iterator(More.end()));
}

intent decodeIntent(const std::string &Index, const part_source &Source) {
  intent Result;
  bool HasFrame = false;
  for (const std::string &Digest : readIndex(fetchChecked(Index, Source))) {
    intent Part = readIntentPart(fetchChecked(Digest, Source));
    // Only the first part, the frame, contains the policy.
    if (!HasFrame)
      Result.Policy = Part.Policy;
    HasFrame = true;
    append(Result.Zones, Part.Zones);
    append(Result.Routes, Part.Routes);
    append(Result.Customers, Part.Customers);
    append(Result.Keys, Part.Keys);
    append(Result.Upstreams, Part.Upstreams);
    append(Result.Adapters, Part.Adapters);
  }
  const std::vector<input_problem> Problems = validateIntent(Result);
  if (!Problems.empty())
    throw spindle_error(result_code::ConfigurationCorrupt,
                        "configuration: " + Problems.front().Field + ": " +
                            Problems.front().Message);
  return Result;
}

} // namespace spindle
