/// Receiving a message in steps, so that its memory can be checked after each of them.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>

#include <cstddef>

namespace eelgrassrail
{

/// @brief Parses what is in the buffer, or reads once from the stream and parses that.
///
/// Beast's own operations read until a part of the message is whole, and keep what a peer sends
/// without end up to the limit of the buffer, for each connection.
/// @param parser a Beast parser
/// @return as of Beast's `async_read_some`; `end_of_stream` if the peer has sent nothing
template <class Stream, class Parser>
boost::asio::awaitable<boost::beast::error_code>
receive_some(Stream& stream, boost::beast::flat_buffer& buf, Parser& parser)
{
    namespace http = boost::beast::http;
    constexpr std::size_t max_read_bytes = 64UL * 1024;
    boost::beast::error_code ec;
    parser.eager(true);
    if (buf.size() > 0)
    {
        buf.consume(parser.put(buf.data(), ec));
        if (ec != http::error::need_more)
            co_return ec;
        ec = {};
    }
    const auto wanted = boost::beast::read_size(buf, max_read_bytes);
    if (wanted == 0)
        co_return http::error::buffer_overflow;
    buf.commit(co_await stream.async_read_some(
        buf.prepare(wanted), boost::asio::redirect_error(boost::asio::use_awaitable, ec)));
    if (ec == boost::asio::error::eof)
    {
        ec = {};
        if (parser.got_some())
            parser.put_eof(ec);
        else
            ec = http::error::end_of_stream;
        co_return ec;
    }
    if (ec.failed())
        co_return ec;
    buf.consume(parser.put(buf.data(), ec));
    if (ec == http::error::need_more)
        ec = {};
    co_return ec;
}

} // namespace eelgrassrail
