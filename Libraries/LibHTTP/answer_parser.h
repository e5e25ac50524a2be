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
/// what was parsed. Returns need_more until the head is whole, no error for
/// that of an interim or final answer, else why the bytes are no answer.
/// Precondition: \p Parser is new or has returned need_more. Not thread-safe.
///
/// This decides for all callers of servers what an answer is. It refuses, of
/// what the parser takes:
/// - any three digits for a status (bad_status);
/// - a folded field, a line that begins with a blank, which is joined to the
///   field before (bad_obs_fold). RFC 9112, section 5.2, leaves a gateway the
///   choice, and a server in trouble may have put anything there;
/// - a body in a transfer coding other than chunked, once, of which only the
///   last is looked at and none but chunked undone (bad_transfer_encoding).
boost::beast::error_code parseHead(boost::beast::flat_buffer &Received,
                                   answer_parser &Parser);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHTTP_ANSWER_PARSER_H
