#ifndef PARSLEYSPINDLE_STANDINS_LIBSTANDIN_JSON_EXCHANGE_H
#define PARSLEYSPINDLE_STANDINS_LIBSTANDIN_JSON_EXCHANGE_H

#include "LibHTTP/http_server.h"

#include <functional>

#include <nlohmann/json.hpp>

namespace spindle {

/// The longest body that a stand-in reads.
inline constexpr std::size_t StandInBodyLimitBytes = std::size_t{16} << 20;

/// Answers with \p Text as JSON. Precondition: nothing was sent before.
void respondText(http_exchange &Exchange, int Status, std::string_view Text);
/// Answers with \p Body. Precondition: nothing was sent before.
void respondJson(http_exchange &Exchange, int Status,
                 const nlohmann::json &Body);
/// Answers with {"error":{"message":...}}, as OpenAI-style servers do.
/// Precondition: nothing was sent before.
void respondError(http_exchange &Exchange, int Status,
                  std::string_view Message);
/// Reads the body as a JSON object. \throws spindle_error BadRequest.
nlohmann::json readJson(http_exchange &Exchange);

/// Answers GET and PUT of /control. \p Read returns all switches as a flat
/// JSON object; a PUT names some of them, and \p Apply gets all with
/// these replaced before the answer is sent. Names and types that Read doesn't
/// return are refused with 400.
void serveControl(http_exchange &Exchange,
                  const std::function<nlohmann::json()> &Read,
                  const std::function<void(const nlohmann::json &)> &Apply);

/// Suspends the calling fiber until \p Over returns true or the caller has
/// left.
void holdSilently(http_exchange &Exchange, const std::function<bool()> &Over);

} // namespace spindle

#endif // PARSLEYSPINDLE_STANDINS_LIBSTANDIN_JSON_EXCHANGE_H
