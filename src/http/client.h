#pragma once

#include "http/message.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>

/// \file
/// HTTP/1.1 client. Every call opens a new connection, so that no call is sent over a pooled
/// connection that was lost while it was idle.

namespace bluebell {

namespace detail {
class HttpClientConnection;
} // namespace detail

/// A response whose body is read chunk by chunk.
class HttpStream
{
public:
    explicit HttpStream(std::unique_ptr<detail::HttpClientConnection> connection);
    ~HttpStream();
    HttpStream(HttpStream &&) noexcept;
    HttpStream &operator=(HttpStream &&) noexcept;

    /// \returns the HTTP status code
    [[nodiscard]] unsigned status() const;
    /// \returns the value of the header `name`, or an empty string
    [[nodiscard]] std::string header(std::string_view name) const;
    /// \returns the status and headers, with an empty body
    [[nodiscard]] HttpResponse head() const;

    /// \returns whether the body has neither a length nor chunks, so that it ends with its
    /// connection
    [[nodiscard]] bool isCloseDelimited() const;

    /// Reads the next chunk of the body.
    ///
    /// \param deadline end of the time to wait for data. After it, only what has arrived by then is
    ///                 returned, then DeadlineExceeded, however steadily the server sends
    /// \param silence gives up earlier, if given
    /// \returns the chunk, `std::nullopt` after the complete body, or an error when the connection
    ///          failed, timed out, was given up or closed before the end of the body. A success
    ///          whose body ends with its connection needs at least one byte to be complete
    [[nodiscard]] boost::asio::awaitable<Result<std::optional<std::string>>>
    read(TimePoint deadline, std::optional<SilencePolicy> silence = std::nullopt);

private:
    std::unique_ptr<detail::HttpClientConnection> m_connection;
};

/// Sends a request and reads the status line and headers of the response.
///
/// Errors carry Execution::NotRun when the connection was not established, so that no part of the
/// request was sent, and Execution::OutcomeUnknown otherwise.
[[nodiscard]] boost::asio::awaitable<Result<HttpStream>> openStream(HttpCall call);

/// Sends a request and reads the whole response. Of the headers, only HttpCall::keptHeaders are
/// kept, next to the content type.
///
/// Errors carry Execution::NotRun when the connection was not established, so that no part of the
/// request was sent, and Execution::OutcomeUnknown otherwise.
[[nodiscard]] boost::asio::awaitable<Result<HttpResponse>> exchange(HttpCall call);

} // namespace bluebell
