#pragma once

#include "http/client.h"
#include "placement/loadplanner.h"
#include "streams/streamassembler.h"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>
#include <variant>
#include <vector>

/// \file
/// HTTP client for targets: model engines and plain HTTP services.

namespace bluebell {

/// Parameters of a generation to start or resume.
struct GenerateCall
{
    RequestId request;
    AttemptId attempt = 1;
    ReplicaKey replica;
    std::string prompt;
    /// Maximum number of tokens to generate.
    Tokens maxTokens = 0;
    /// Number of tokens that the caller has already received; generation continues after them.
    StreamOffset offset = 0;
    /// Weight of the caller's class.
    std::uint32_t priority = 1;
};

/// A generated token or the end of the stream.
using StreamEvent = std::variant<StreamToken, StreamEnd>;

/// Parses the server-sent events of one generation attempt.
class GenerateStream
{
public:
    explicit GenerateStream(HttpStream stream) : m_stream(std::move(stream)) { }

    /// Reads the next event.
    ///
    /// \param deadline end of the time to wait for the whole event
    /// \param silence gives up earlier, if given
    /// \returns the event; Truncated when the stream ended without an end marker, Unavailable when
    ///          an event is malformed or longer than 64 KiB, or the transport error
    [[nodiscard]] boost::asio::awaitable<Result<StreamEvent>>
    next(TimePoint deadline, std::optional<SilencePolicy> silence = std::nullopt);

private:
    HttpStream m_stream;
    std::string m_buffer;
};

/// Starts a generation attempt.
///
/// \param silence gives up earlier than `timeout`, if given
/// \returns the stream, or an error; its execution is NotRun when the target did not start the
///          attempt
[[nodiscard]] boost::asio::awaitable<Result<GenerateStream>>
startGeneration(Endpoint target, GenerateCall call, Duration timeout,
                std::optional<SilencePolicy> silence = std::nullopt);

/// Asks a target to cancel a request. Errors are ignored.
[[nodiscard]] boost::asio::awaitable<void> cancelGeneration(Endpoint target, RequestId request);

/// Fetches the state report of a target: its replicas, cache tiers, memory and load.
[[nodiscard]] boost::asio::awaitable<Result<TargetReport>> fetchReport(Endpoint target,
                                                                       Duration timeout);

/// Sends an order to load or unload a replica.
///
/// \returns success when the target accepted the order, Conflict when it has seen a newer fencing
///          number, or another error
[[nodiscard]] boost::asio::awaitable<Result<void>> sendOrder(Endpoint target, TargetOrder order,
                                                             Duration timeout);

/// Calls a plain HTTP service.
///
/// \returns the response, or an error; its execution is NotRun when the call cannot have reached
///          the service or the service reports that it did not run
///
/// \param memory bounds what is held of several responses while they arrive; may be null
[[nodiscard]] boost::asio::awaitable<Result<HttpResponse>>
callService(Endpoint target, HttpRequest request, Duration timeout,
            std::shared_ptr<MemoryBudget> memory = nullptr);

} // namespace bluebell
