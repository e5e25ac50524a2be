#ifndef PARSLEYSPINDLE_LIBHTTP_ANSWER_PARSER_H
#define PARSLEYSPINDLE_LIBHTTP_ANSWER_PARSER_H

#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

namespace spindle {

/// Parses an answer whose body is read part by part.
using answer_parser =
    boost::beast::http::response_parser<boost::beast::http::buffer_body>;

/// Parses the head of an answer as far as \p Received holds it, and consumes
/// what was parsed. Returns need_more until the head is whole. Precondition:
/// \p Parser has not returned another code before. Not thread-safe.
///
/// The parser joins a folded field, a line that begins with a blank, to the
/// field before. A server in trouble may have put anything there, so that it is
/// refused as bad_obs_fold; RFC 9112, section 5.2, leaves a gateway the choice.
boost::beast::error_code parseHead(boost::beast::flat_buffer &Received,
                                   answer_parser &Parser);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHTTP_ANSWER_PARSER_H
