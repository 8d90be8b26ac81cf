/// Beast body types for bodies in blocks: one to receive, one to send a shared body.
#pragma once

#include <eelgrassrail/http/body_blocks.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

#include <cstdint>
#include <memory>
#include <span>
#include <utility>
#include <vector>

namespace eelgrassrail
{

/// Receives a body into blocks. An announced length reserves nothing.
struct block_body
{
    using value_type = body_blocks;

    class reader
    {
      public:
        template <bool is_request, class Fields>
        reader(boost::beast::http::header<is_request, Fields>&, value_type& body)
            : m_body(body)
        {
        }

        void init(const boost::optional<std::uint64_t>&, boost::beast::error_code& ec) { ec = {}; }

        template <class Buffers>
        std::size_t put(const Buffers& buffers, boost::beast::error_code& ec)
        {
            ec = {};
            std::size_t n = 0;
            for (const auto it : boost::beast::buffers_range_ref(buffers))
            {
                m_body.append(std::span(static_cast<const char*>(it.data()), it.size()));
                n += it.size();
            }
            return n;
        }

        void finish(boost::beast::error_code& ec) { ec = {}; }

      private:
        value_type& m_body;
    };
};

/// Sends a body that is shared with its owner, so that an attempt copies nothing.
struct shared_block_body
{
    using value_type = std::shared_ptr<const body_blocks>;

    static std::uint64_t size(const value_type& body) { return body->size(); }

    class writer
    {
      public:
        using const_buffers_type = std::vector<boost::asio::const_buffer>;

        template <bool is_request, class Fields>
        writer(const boost::beast::http::header<is_request, Fields>&, const value_type& body)
            : m_body(body)
        {
        }

        void init(boost::beast::error_code& ec) { ec = {}; }

        boost::optional<std::pair<const_buffers_type, bool>> get(boost::beast::error_code& ec)
        {
            ec = {};
            return {{m_body->buffers(), false}};
        }

      private:
        const value_type& m_body;
    };
};

} // namespace eelgrassrail
