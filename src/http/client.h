#pragma once

#include "http/message.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>

/// \file
/// HTTP/1.1 client. Every call uses a connection of its own, so that no call meets a connection
/// that went silent while it was unused.

namespace bluebell {

namespace detail {
class HttpClientConnection;
} // namespace detail

/// A response whose body is read in pieces.
class HttpStream
{
public:
    explicit HttpStream(std::unique_ptr<detail::HttpClientConnection> connection);
    ~HttpStream();
    HttpStream(HttpStream &&) noexcept;
    HttpStream &operator=(HttpStream &&) noexcept;

    [[nodiscard]] unsigned status() const;
    [[nodiscard]] std::string header(std::string_view name) const;
    /// \returns status and headers, without a body
    [[nodiscard]] HttpResponse head() const;

    /// Reads the next piece.
    ///
    /// \param timeout the longest time without a byte
    /// \returns the piece, nothing at the proper end of the body, or an error when it was cut
    [[nodiscard]] boost::asio::awaitable<Result<std::optional<std::string>>> read(Duration timeout);

private:
    std::unique_ptr<detail::HttpClientConnection> m_connection;
};

/// Sends a request and reads the head of the response.
///
/// Errors carry NotRun when no byte of the request can have left, and OutcomeUnknown otherwise.
[[nodiscard]] boost::asio::awaitable<Result<HttpStream>> openStream(HttpCall call);

/// Sends a request and reads the whole response.
///
/// Errors carry NotRun when no byte of the request can have left, and OutcomeUnknown otherwise.
[[nodiscard]] boost::asio::awaitable<Result<HttpResponse>> exchange(HttpCall call);

} // namespace bluebell
