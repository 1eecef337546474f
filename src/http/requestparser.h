#pragma once

#include "core/memorybudget.h"
#include "http/requestbody.h"
#include "http/server.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <functional>
#include <memory>
#include <optional>

/// \file
/// Parses the requests of a server connection as they arrive.

namespace bluebell::detail {

/// A request with the memory that it holds.
struct HeldRequest
{
    explicit HeldRequest(std::shared_ptr<MemoryBudget> budget) noexcept : memory(std::move(budget))
    {
    }

    HttpRequest request;
    MemoryShare memory;
};

/// Parses one request after another from the bytes of a connection, within limits of the size and
/// of the memory that all requests hold.
class RequestParser
{
public:
    /// Gives up another request to free memory; returns whether there was one.
    using FreeMemory = std::function<bool()>;

    /// What a complete request says about the connection.
    struct Connection
    {
        unsigned version = 11;
        bool keepAlive = true;
    };

    /// Starts a request, which may have arrived in part.
    ///
    /// \param held takes the memory of the request, and the request when it is complete
    void start(const HttpLimits &limits, std::shared_ptr<HeldRequest> held);
    /// Drops a request that is not complete.
    void cancel();

    /// \returns a buffer for the next bytes of the connection
    [[nodiscard]] auto prepare() { return m_buffer.prepare(ReadBufferBytes); }
    /// Adds bytes that were written to the prepared buffer.
    void commit(std::size_t n) { m_buffer.commit(n); }
    /// Parses what has arrived. Without an error, the request is complete or more is needed.
    [[nodiscard]] boost::beast::error_code parse(const FreeMemory &freeMemory);
    /// \returns the error of a connection that ends before the request is complete
    [[nodiscard]] boost::beast::error_code endOfInput() const;
    [[nodiscard]] bool isDone() const { return m_parser->is_done(); }
    /// Moves the complete request to where it is held.
    [[nodiscard]] Connection finish();

    /// \returns the number of bytes that have arrived and are not parsed
    [[nodiscard]] std::size_t bufferedBytes() const { return m_buffer.size(); }
    /// Drops the bytes that have arrived and are not parsed.
    void clearBuffer();

private:
    static constexpr std::size_t ReadBufferBytes = 4096;

    /// Takes memory for what has arrived.
    ///
    /// \returns false if there is none
    [[nodiscard]] bool holdArrived(const FreeMemory &freeMemory);
    /// \returns whether a part of the framing is longer than what the header leaves of its limit
    [[nodiscard]] bool isFramingTooLong() const;
    /// \returns the size that the body may reach
    [[nodiscard]] std::size_t maxBodySize() const;

    std::size_t m_headerLimit = 0;
    std::size_t m_bodyLimit = 0;
    boost::beast::flat_buffer m_buffer;
    /// Set while a request is read.
    std::optional<boost::beast::http::request_parser<RequestBody>> m_parser;
    std::shared_ptr<HeldRequest> m_held;
    /// Size of the request line and headers.
    std::size_t m_headBytes = 0;
};

} // namespace bluebell::detail
