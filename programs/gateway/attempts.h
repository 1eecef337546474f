#pragma once

#include "gateway/gatewaystate.h"
#include "gateway/requestadmission.h"
#include "gateway/requestcontext.h"
#include "gateway/responserelay.h"
#include "gateway/takeover.h"
#include "http/server.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

/// \file
/// Sends requests to targets, and moves them from a silent target to another one.

namespace bluebell::gateway {

/// Makes the attempts of requests at targets that were selected.
///
/// A target that is silent may be sound. It is given up only when another one has accepted the
/// request; the current attempt goes on until then, and if it gets a byte, the other one is ended.
class Attempts
{
public:
    Attempts(boost::asio::any_io_executor executor, GatewayState &state)
        : m_executor(std::move(executor)), m_state(state), m_admission(state), m_relay(state)
    {
    }

    /// Sends a request to a target and passes the response on, from another target if that takes
    /// the request over.
    [[nodiscard]] boost::asio::awaitable<AttemptResult> run(RequestContext &it, TargetId target,
                                                            HttpResponder &responder);

    /// Takes back what the attempts of a request that has failed by an exception are counted in.
    void abandon(RequestContext &it);

private:
    /// Prepares an attempt at a target: counts it and makes the call.
    [[nodiscard]] HttpCall begin(RequestContext &it, const TargetEntry &target, Attempt &attempt);
    boost::asio::awaitable<AttemptResult> runAtOneTarget(RequestContext &it, TargetId target,
                                                         HttpResponder &responder);
    /// Passes on the response of the latest attempt.
    boost::asio::awaitable<AttemptResult> relay(RequestContext &it, HttpStream stream,
                                                HttpResponder &responder);
    /// Notes a failure to get a response head.
    [[nodiscard]] AttemptResult noteNoResponse(RequestContext &it, Attempt &attempt, Error error);
    /// Notes the end of the latest attempt.
    void finish(RequestContext &it, const AttemptResult &result);
    /// Ends the counting of an attempt in the target selector.
    void stopCounting(Attempt &attempt);

    // Takeovers.

    /// \returns the policy for the current attempt, or nothing if the request cannot be sent again
    ///
    /// \param limit time without a byte after which another target is asked to take over
    [[nodiscard]] std::optional<SilencePolicy> silencePolicy(RequestContext &it, Duration limit);
    /// \returns whether another target has accepted the request; asks one if there is one that may
    /// and the retry budget allows it
    [[nodiscard]] bool tryTakeOver(RequestContext &it);
    /// \returns a target that can take the request over and has not refused or failed a request
    /// just before
    [[nodiscard]] std::optional<TargetId> takeoverTarget(const RequestContext &it, TimePoint now);
    void startTakeover(RequestContext &it, const TargetEntry &target);
    boost::asio::awaitable<void> open(std::shared_ptr<RequestContext> request,
                                      std::shared_ptr<Takeover> takeover, HttpCall call);
    /// Waits until a takeover that was begun is decided.
    ///
    /// \returns whether it is accepted
    boost::asio::awaitable<bool> awaitTakeover(RequestContext &it);
    /// Passes on the response of the target that has taken the request over.
    boost::asio::awaitable<AttemptResult> runTakeover(RequestContext &it, HttpResponder &responder);
    /// Ends the takeover of a request, if there is one.
    void dropTakeover(RequestContext &it);

    boost::asio::any_io_executor m_executor;
    GatewayState &m_state;
    RequestAdmission m_admission;
    ResponseRelay m_relay;
};

} // namespace bluebell::gateway
