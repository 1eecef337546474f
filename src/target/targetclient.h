#pragma once

#include "http/client.h"
#include "placement/planner.h"
#include "streams/streamassembler.h"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>
#include <variant>
#include <vector>

/// \file
/// Client of model engines and plain services, over HTTP.

namespace bluebell {

/// A generation to start or to resume.
struct GenerateCall
{
    RequestId request;
    AttemptId attempt = 1;
    ReplicaKey replica;
    std::string prompt;
    Tokens mostTokens = 0;
    /// Tokens that the caller already has.
    StreamOffset offset = 0;
    std::uint32_t priority = 1;
};

using StreamEvent = std::variant<StreamToken, StreamEnd>;

/// The events of one attempt.
class GenerateStream
{
public:
    explicit GenerateStream(HttpStream stream) : m_stream(std::move(stream)) { }

    /// Reads the next event.
    ///
    /// \param timeout the longest time without one
    /// \returns the event, or an error when the stream was cut or is malformed
    [[nodiscard]] boost::asio::awaitable<Result<StreamEvent>> next(Duration timeout);

private:
    HttpStream m_stream;
    std::string m_buffer;
};

/// Starts an attempt.
///
/// \returns the stream; an error with NotRun when the target did not start the attempt
[[nodiscard]] boost::asio::awaitable<Result<GenerateStream>>
startGeneration(Endpoint target, GenerateCall call, Duration timeout);

/// Tells a target to stop working on a request.
[[nodiscard]] boost::asio::awaitable<void> cancelGeneration(Endpoint target, RequestId request);

/// Asks a target for its report.
[[nodiscard]] boost::asio::awaitable<Result<TargetReport>> fetchReport(Endpoint target,
                                                                       Duration timeout);

/// Sends an order to load or unload.
///
/// \returns nothing when the target took the order, or Conflict when the fencing number is old
[[nodiscard]] boost::asio::awaitable<Result<void>> sendOrder(Endpoint target, TargetOrder order,
                                                             Duration timeout);

/// Calls a plain service.
///
/// \returns the response; an error with NotRun when the service cannot have run the call or says
///          that it did not
[[nodiscard]] boost::asio::awaitable<Result<HttpResponse>>
callService(Endpoint target, HttpRequest request, Duration timeout);

} // namespace bluebell
