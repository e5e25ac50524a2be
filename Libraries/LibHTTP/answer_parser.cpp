#include "LibHTTP/answer_parser.h"

#include "LibHTTP/status_code.h"

#include <iterator>
#include <string_view>

#include <boost/beast/http/error.hpp>

namespace spindle {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

static bool holdsFold(std::string_view HeadBytes) {
  return HeadBytes.find("\n ") != std::string_view::npos ||
         HeadBytes.find("\n\t") != std::string_view::npos;
}

static bool hasUnknownCoding(const http::fields &Fields) {
  const auto [First, Last] = Fields.equal_range(http::field::transfer_encoding);
  if (First == Last)
    return false;
  return std::next(First) != Last || !beast::iequals(First->value(), "chunked");
}

/// Checks a head that the parser has taken. \p FieldBytes holds its fields.
static beast::error_code checkHead(const answer_parser &Parser,
                                   std::string_view FieldBytes) {
  const int Status = static_cast<int>(Parser.get().result_int());
  if (!isInterimStatus(Status) && !isFinalStatus(Status))
    return http::error::bad_status;
  if (holdsFold(FieldBytes))
    return http::error::bad_obs_fold;
  if (!Parser.is_done() && hasUnknownCoding(Parser.get()))
    return http::error::bad_transfer_encoding;
  return {};
}

beast::error_code parseHead(beast::flat_buffer &Received,
                            answer_parser &Parser) {
  if (Received.size() == 0)
    return http::error::need_more;
  const asio::const_buffer Bytes = Received.cdata();
  beast::error_code Error;
  // All fields of a head are parsed at once, and nothing behind them.
  const std::size_t Parsed = Parser.put(Bytes, Error);
  if (!Error)
    Error =
        checkHead(Parser, {static_cast<const char *>(Bytes.data()), Parsed});
  Received.consume(Parsed);
  return Error;
}

} // namespace spindle
