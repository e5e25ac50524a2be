#ifndef PARSLEYSPINDLE_STANDINS_ENGINE_STAND_IN_ANSWER_SENDER_H
#define PARSLEYSPINDLE_STANDINS_ENGINE_STAND_IN_ANSWER_SENDER_H

#include "LibHTTP/http_server.h"
#include "engine_stand_in/answer_writer.h"
#include "engine_stand_in/engine_batch.h"
#include "engine_stand_in/engine_faults.h"
#include "engine_stand_in/engine_switches.h"

#include <cstdint>

namespace spindle {

/// Sends one answer as its tokens are made, with the faults that were drawn for
/// it. Ends the request's part of the batch on destruction. Not thread-safe.
class answer_sender {
public:
  /// All references must outlive this object.
  /// \param Request the number that the batch gave the request.
  /// \param EventsPerWrite how many events of a stream one write holds at most.
  answer_sender(http_exchange &Exchange, engine_batch &Batch,
                engine_switches &Switches, const request_faults &Drawn,
                std::uint64_t Request, std::uint32_t EventsPerWrite);
  ~answer_sender();
  answer_sender(const answer_sender &) = delete;
  answer_sender &operator=(const answer_sender &) = delete;

  /// Answers the call; aborts the exchange if the answer has to be cut. Blocks
  /// the fiber.
  void send(const engine_call &Call);

private:
  bool sendStream(const answer_writer &Writer, std::uint32_t Length);
  bool sendWhole(const answer_writer &Writer, std::uint32_t Length);
  bool waitForTokens(std::uint32_t &Tokens);
  void appendEvents(std::string &Text, const answer_writer &Writer,
                    std::uint32_t End);

  http_exchange &Exchange;
  engine_batch &Batch;
  engine_switches &Switches;
  const request_faults Drawn;
  const std::uint64_t Request;
  const std::uint32_t EventsPerWrite;
  /// The tokens that were sent.
  std::uint32_t Sent = 0;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_STANDINS_ENGINE_STAND_IN_ANSWER_SENDER_H
