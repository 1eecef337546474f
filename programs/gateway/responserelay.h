#pragma once

#include "gateway/gatewaystate.h"
#include "gateway/requestcontext.h"
#include "http/client.h"
#include "http/server.h"
#include "site/targetresponse.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>

/// \file
/// Passes targets' responses on to callers.

namespace bluebell::gateway {

/// Maximum size of a response that is kept in memory until it is complete, and of a stream, which
/// is not. A target that sends more is in trouble.
constexpr std::uint64_t MaxResponseBytes = 4U << 20U;
constexpr std::uint64_t MaxStreamBytes = 64U << 20U;

/// \returns whether the response has the status of a success
[[nodiscard]] bool isSuccess(const HttpStream &stream);

/// Checks a target's response and passes it on to the caller.
class ResponseRelay
{
public:
    explicit ResponseRelay(GatewayState &state) : m_state(state) { }

    /// Checks the response head of an attempt, and notes what it tells of the target.
    ///
    /// \returns the result of the attempt if its response must not be passed on
    [[nodiscard]] std::optional<AttemptResult> checkHead(RequestContext &it, Attempt &attempt,
                                                         const HttpStream &stream);
    /// Passes on the response to the latest attempt, whose head has passed the check.
    ///
    /// \param silence decides when a target is given up that is silent within a stream
    [[nodiscard]] boost::asio::awaitable<AttemptResult>
    relay(RequestContext &it, HttpStream stream, HttpResponder &responder,
          const std::optional<SilencePolicy> &silence);

private:
    /// Notes that the target of an attempt has refused the request without executing it.
    [[nodiscard]] AttemptResult refused(RequestContext &it, const Attempt &attempt,
                                        const ResponseHead &head);
    /// Notes a response whose status must not reach the caller.
    [[nodiscard]] AttemptResult withheld(RequestContext &it, const Attempt &attempt,
                                         const ResponseHead &head);
    /// \returns the result of an attempt whose response can't be kept; counts it
    [[nodiscard]] AttemptResult noMemory();
    /// Reads the complete body and then sends the response. An error response of the target is
    /// returned, not sent.
    boost::asio::awaitable<AttemptResult> relayBody(RequestContext &it, HttpStream stream,
                                                    HttpResponder &responder);
    /// Forwards the events of a stream as they arrive.
    boost::asio::awaitable<AttemptResult> relayEvents(RequestContext &it, HttpStream stream,
                                                      HttpResponder &responder,
                                                      const std::optional<SilencePolicy> &silence);

    GatewayState &m_state;
};

} // namespace bluebell::gateway
