#include "LibPlatform/platform_message.h"

#include "LibCore/bounded_json.h"
#include "LibCore/result_code.h"

#include <charconv>

#include <nlohmann/json.hpp>

namespace spindle {

using nlohmann::json;

static constexpr std::string_view ApiVersion = "parsleyspindle/v1";
static constexpr int StatusGone = 410;

static bool isUnreserved(char Character) {
  return (Character >= 'a' && Character <= 'z') ||
         (Character >= 'A' && Character <= 'Z') ||
         (Character >= '0' && Character <= '9') || Character == '-' ||
         Character == '_' || Character == '.' || Character == '~';
}

std::string encodePathSegment(std::string_view Text) {
  static constexpr std::string_view Digits = "0123456789ABCDEF";
  std::string Result;
  for (const char Character : Text) {
    if (isUnreserved(Character)) {
      Result.push_back(Character);
      continue;
    }
    const auto Byte = static_cast<unsigned char>(Character);
    Result.push_back('%');
    Result.push_back(Digits[Byte >> 4]);
    Result.push_back(Digits[Byte & 0xF]);
  }
  return Result;
}

std::string decodePathSegment(std::string_view Text) {
  std::string Result;
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    unsigned Byte = 0;
    const char *const Digits = Text.data() + Index + 1;
    if (Text[Index] != '%' || Index + 2 >= Text.size() ||
        std::from_chars(Digits, Digits + 2, Byte, 16).ptr != Digits + 2) {
      Result.push_back(Text[Index]);
      continue;
    }
    Result.push_back(static_cast<char>(Byte));
    Index += 2;
  }
  return Result;
}

std::string platformPath(std::string_view Namespace, std::string_view Kind,
                         std::string_view Name) {
  std::string Path(PlatformPathPrefix);
  Path += encodePathSegment(Namespace);
  Path += '/';
  Path += encodePathSegment(Kind);
  if (Name.empty())
    return Path;
  Path += '/';
  Path += encodePathSegment(Name);
  return Path;
}

std::string writeObject(const platform_object &Object) {
  json Metadata{{"name", Object.Name}};
  if (Object.Version != 0)
    Metadata["resourceVersion"] = std::to_string(Object.Version);
  // The body is JSON text already, so it is put in without a parse.
  std::string Text = "{\"apiVersion\":\"" + std::string(ApiVersion) + "\"";
  Text += ",\"kind\":" + json(Object.Kind).dump();
  Text += ",\"metadata\":" + Metadata.dump();
  Text += ",\"spec\":";
  Text += Object.Body;
  Text += '}';
  return Text;
}

static json parse(std::string_view Text) {
  try {
    return parseBoundedJson(Text);
  } catch (const json::exception &Error) {
    throw spindle_error(result_code::PlatformUnavailable,
                        std::string("the platform's answer is not JSON: ") +
                            Error.what());
  }
}

[[noreturn]] static void unreadable(std::string_view Place) {
  throw spindle_error(result_code::PlatformUnavailable,
                      "the platform's answer lacks " + std::string(Place));
}

static std::uint64_t readVersion(const json &Metadata) {
  const auto Found = Metadata.find("resourceVersion");
  if (Found == Metadata.end())
    return 0;
  if (!Found->is_string())
    unreadable("metadata.resourceVersion");
  const std::string &Text = Found->get_ref<const std::string &>();
  std::uint64_t Version = 0;
  const std::from_chars_result Result =
      std::from_chars(Text.data(), Text.data() + Text.size(), Version);
  if (Result.ec != std::errc() || Result.ptr != Text.data() + Text.size())
    unreadable("metadata.resourceVersion");
  return Version;
}

static const json &member(const json &Object, const char *Name) {
  if (!Object.is_object() || !Object.contains(Name))
    unreadable(Name);
  return Object.at(Name);
}

static platform_object toObject(std::string_view Kind, const json &Document) {
  const json &Metadata = member(Document, "metadata");
  const json &Name = member(Metadata, "name");
  if (!Name.is_string())
    unreadable("metadata.name");
  platform_object Object;
  Object.Kind = Kind;
  Object.Name = Name.get<std::string>();
  Object.Version = readVersion(Metadata);
  Object.Body = member(Document, "spec").dump();
  return Object;
}

platform_object readObject(std::string_view Kind, std::string_view Text) {
  return toObject(Kind, parse(Text));
}

platform_list readList(std::string_view Kind, std::string_view Text) {
  const json Document = parse(Text);
  platform_list List;
  List.Version = readVersion(member(Document, "metadata"));
  for (const json &Item : member(Document, "items"))
    List.Objects.push_back(toObject(Kind, Item));
  return List;
}

static watch_line readFailure(const json &Status) {
  watch_line Line;
  const bool TooOld =
      Status.is_object() && Status.value("code", 0) == StatusGone;
  Line.Kind = TooOld ? watch_line_kind::TooOld : watch_line_kind::Failed;
  Line.Message = Status.dump();
  return Line;
}

watch_line readWatchLine(std::string_view Kind, std::string_view Line) {
  const json Document = parse(Line);
  const json &Type = member(Document, "type");
  const json &Object = member(Document, "object");
  if (Type == "ERROR")
    return readFailure(Object);
  if (Type == "BOOKMARK")
    return {};
  watch_line Result;
  Result.Kind = watch_line_kind::Event;
  if (Type == "ADDED")
    Result.Event.Change = platform_change::Added;
  else if (Type == "MODIFIED")
    Result.Event.Change = platform_change::Modified;
  else if (Type == "DELETED")
    Result.Event.Change = platform_change::Deleted;
  else
    unreadable("a known event type");
  Result.Event.Object = toObject(Kind, Object);
  return Result;
}

std::string writeDeleteOptions(std::uint64_t Version) {
  return json{{"apiVersion", "v1"},
              {"kind", "DeleteOptions"},
              {"preconditions", {{"resourceVersion", std::to_string(Version)}}}}
      .dump();
}

} // namespace spindle
