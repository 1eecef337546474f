#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>

#include <cstdint>
#include <string>

/// \file
/// Body of a request that is being read.

namespace bluebell::detail {

/// A string that grows with the bytes that arrive. Beast's string body allocates the announced
/// length at once.
struct RequestBody
{
    using value_type = std::string;

    static std::uint64_t size(const value_type &body) { return body.size(); }

    /// Has the name that Beast requires.
    class reader // NOLINT(readability-identifier-naming)
    {
    public:
        template<bool isRequest, typename Fields>
        explicit reader(boost::beast::http::header<isRequest, Fields> & /*head*/, value_type &body)
            : m_body(body)
        {
        }

        void init(const boost::optional<std::uint64_t> & /*length*/, boost::beast::error_code &ec)
        {
            ec = {};
        }

        template<typename Buffers>
        std::size_t put(const Buffers &buffers, boost::beast::error_code &ec)
        {
            ec = {};
            const auto size = m_body.size();
            for (auto it = boost::asio::buffer_sequence_begin(buffers);
                 it != boost::asio::buffer_sequence_end(buffers); ++it)
                m_body.append(static_cast<const char *>(it->data()), it->size());
            return m_body.size() - size;
        }

        void finish(boost::beast::error_code &ec) { ec = {}; }

    private:
        value_type &m_body;
    };
};

} // namespace bluebell::detail
