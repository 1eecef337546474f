#pragma once

#include "core/time.h"
#include "http/message.h"

#include <cstdint>
#include <string>

/// \file
/// Blocking HTTP/1.1 caller that tells how a connection ended, for tests that check what callers
/// receive.

namespace bluebell::testing {

/// How a request is written.
struct WireOptions
{
    bool isChunked = false;
    /// Sends `Connection: close`.
    bool closesAfterwards = false;
    /// Pause after the first half of the bytes.
    Duration pause {};
};

/// What the caller saw of one request.
struct Exchange
{
    /// All bytes were written, on a connection that was open just before the last of them.
    bool isWhole = false;
    /// The request was not the first one on its connection.
    bool isReused = false;
    /// Some byte of a response arrived.
    bool hasResponseBytes = false;
    /// A well-formed response arrived up to its end.
    bool isComplete = false;
    HttpResponse response;
    /// Why the response is not complete, or what is wrong with the connection.
    std::string cause;
    TimePoint beganAt {};
    /// When the last byte was written.
    TimePoint sentAt {};
    TimePoint endedAt {};
    std::uint16_t localPort = 0;
};

/// A connection that is kept for several requests.
class SoakConnection
{
public:
    SoakConnection() = default;
    ~SoakConnection() { close(); }
    SoakConnection(const SoakConnection &) = delete;
    SoakConnection &operator=(const SoakConnection &) = delete;

    /// \returns whether the connection was established
    bool open(std::uint16_t port);
    void close();
    [[nodiscard]] bool isOpen() const noexcept { return m_fd >= 0; }
    /// Closes this end when the peer has closed the connection.
    ///
    /// \returns whether the connection is open and no unexpected bytes have arrived
    bool isUsable();
    /// Whether bytes had arrived while no request was waiting.
    [[nodiscard]] bool hasUnexpectedBytes() const noexcept { return m_hasUnexpectedBytes; }

    /// Sends a request and reads its response; gives up at `end`.
    Exchange exchange(const HttpRequest &request, const WireOptions &options, TimePoint end);

private:
    bool write(std::string_view bytes) const;
    void read(Exchange &result, TimePoint end);

    int m_fd = -1;
    int m_requests = 0;
    bool m_hasUnexpectedBytes = false;
};

} // namespace bluebell::testing
