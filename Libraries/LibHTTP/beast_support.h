#ifndef PARSLEYSPINDLE_LIBHTTP_BEAST_SUPPORT_H
#define PARSLEYSPINDLE_LIBHTTP_BEAST_SUPPORT_H

#include "LibCore/endpoint.h"
#include "LibHTTP/http_message.h"
#include "LibRuntime/await_io.h"

#include <chrono>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/fields.hpp>

namespace spindle {

/// A stream whose executor is one event loop, without type erasure.
using tcp_stream =
    boost::beast::basic_stream<boost::asio::ip::tcp,
                               boost::asio::io_context::executor_type>;

/// What a look at an idle socket shows.
enum class socket_peek { Quiet, HasData, Closed };

/// Looks whether anything can be read, without reading it. Never blocks.
socket_peek peek(tcp_stream &Stream);
/// Sets no-delay, keepalive probes, which end a connection whose peer has
/// silently lost track of it, and a bound on what is held for a peer that reads
/// slowly.
void prepareSocket(tcp_stream &Stream);
/// Precondition: \p Endpoint was read by parseEndpoint().
boost::asio::ip::tcp::endpoint toAsio(const endpoint &Endpoint);
endpoint fromAsio(const boost::asio::ip::tcp::endpoint &Endpoint);
/// Copies header fields; those that concern one connection are left out.
http_fields toFields(const boost::beast::http::fields &Fields);
/// Tells whether a field concerns only the connection that it came on.
bool isConnectionField(std::string_view Name);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHTTP_BEAST_SUPPORT_H
