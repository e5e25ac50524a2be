#include "LibEngine/event_stream_reader.h"

#include "LibCore/result_code.h"

namespace spindle {

static constexpr std::string_view DoneData = "[DONE]";

void event_stream_reader::feed(std::string_view Bytes) {
  if (Start > 0) {
    Buffer.erase(0, Start);
    LineStart -= Start;
    Start = 0;
  }
  Buffer.append(Bytes);
}

/// Returns where the first event ends, or npos.
std::size_t event_stream_reader::findEnd() {
  while (LineStart < Buffer.size()) {
    const std::size_t LineEnd = Buffer.find('\n', LineStart);
    if (LineEnd == std::string::npos)
      return LineEnd;
    const std::size_t Length = LineEnd - LineStart;
    const bool Blank =
        Length == 0 || (Length == 1 && Buffer[LineStart] == '\r');
    LineStart = LineEnd + 1;
    if (Blank)
      return LineStart;
  }
  return std::string::npos;
}

bool event_stream_reader::next(stream_event &Event) {
  const std::size_t End = findEnd();
  if (End == std::string::npos) {
    if (Buffer.size() - Start > MaxEventBytes)
      throw spindle_error(result_code::AnswerCutShort,
                          "the upstream sent an event without end");
    return false;
  }
  const std::string_view Raw =
      std::string_view(Buffer).substr(Start, End - Start);
  Start = End;
  Event.Raw = Raw;
  readData(Raw, Event);
  Event.Done = Event.Data == DoneData;
  return true;
}

/// Takes the next line off \p Rest, without its end.
static std::string_view takeLine(std::string_view &Rest) {
  const std::size_t End = Rest.find('\n');
  std::string_view Line = Rest.substr(0, End);
  Rest.remove_prefix(End + 1);
  if (!Line.empty() && Line.back() == '\r')
    Line.remove_suffix(1);
  return Line;
}

static std::string_view withoutFirstSpace(std::string_view Value) {
  return Value.starts_with(' ') ? Value.substr(1) : Value;
}

void event_stream_reader::readData(std::string_view Raw, stream_event &Event) {
  static constexpr std::string_view Prefix = "data:";
  static constexpr std::string_view IdPrefix = "id:";
  std::size_t Lines = 0;
  Event.Data = {};
  Event.Id = {};
  while (!Raw.empty()) {
    std::string_view Line = takeLine(Raw);
    if (Line.starts_with(IdPrefix))
      Event.Id = withoutFirstSpace(Line.substr(IdPrefix.size()));
    if (!Line.starts_with(Prefix))
      continue;
    Line = withoutFirstSpace(Line.substr(Prefix.size()));
    if (++Lines == 1) {
      Event.Data = Line;
      continue;
    }
    if (Lines == 2)
      Joined.assign(Event.Data);
    Joined.append("\n").append(Line);
    Event.Data = Joined;
  }
}

} // namespace spindle
