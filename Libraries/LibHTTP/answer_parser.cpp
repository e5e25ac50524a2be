#include "LibHTTP/answer_parser.h"

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

beast::error_code parseHead(beast::flat_buffer &Received,
                            answer_parser &Parser) {
  if (Received.size() == 0)
    return http::error::need_more;
  Parser.eager(false);
  const asio::const_buffer Bytes = Received.cdata();
  beast::error_code Error;
  // All fields of a head are parsed at once, and nothing behind them.
  const std::size_t Parsed = Parser.put(Bytes, Error);
  if (!Error && holdsFold({static_cast<const char *>(Bytes.data()), Parsed}))
    Error = http::error::bad_obs_fold;
  Received.consume(Parsed);
  return Error;
}

} // namespace spindle
