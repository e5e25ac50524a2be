#ifndef PARSLEYSPINDLE_LIBENGINE_EVENT_STREAM_READER_H
#define PARSLEYSPINDLE_LIBENGINE_EVENT_STREAM_READER_H

#include <cstddef>
#include <string>
#include <string_view>

namespace spindle {

/// One event of a stream of server-sent events. The views stay valid until
/// the reader's next feed() or next().
struct stream_event {
  /// The event's bytes as received, its closing blank line included.
  std::string_view Raw;
  /// The event's data, lines joined by LF; empty for comments.
  std::string_view Data;
  /// Whether the data is "[DONE]".
  bool Done = false;
  /// The event's id; empty if it has none.
  std::string_view Id = {};
};

/// Splits the body of a text/event-stream answer into events, however its
/// bytes are cut. Lines end in LF or CRLF. Not thread-safe.
class event_stream_reader {
public:
  /// Events longer than this are refused.
  static constexpr std::size_t MaxEventBytes = 1 << 20;

  /// Adds received bytes. Invalidates the views returned before.
  /// \throws spindle_error AnswerCutShort if an unfinished event is longer
  /// than MaxEventBytes.
  void feed(std::string_view Bytes);
  /// Returns the next whole event in \p Event; false if there is none yet.
  /// The Raw parts of all events, in order, are the bytes that were fed.
  bool next(stream_event &Event);
  /// Whether bytes of an unfinished event are held.
  bool hasRemainder() const { return Start < Buffer.size(); }
  /// The bytes of the unfinished event.
  std::string_view remainder() const {
    return std::string_view(Buffer).substr(Start);
  }

private:
  std::size_t findEnd();
  void readData(std::string_view Raw, stream_event &Event);

  std::string Buffer;
  /// Where the first event not yet returned starts.
  std::size_t Start = 0;
  /// Where the line that is being examined starts.
  std::size_t LineStart = 0;
  /// Holds the joined data of an event with several data lines.
  std::string Joined;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBENGINE_EVENT_STREAM_READER_H
