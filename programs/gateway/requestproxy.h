#pragma once

#include "gateway/activerequests.h"
#include "gateway/attempts.h"
#include "gateway/gatewaystate.h"
#include "gateway/requestadmission.h"
#include "gateway/requestcontext.h"
#include "http/server.h"
#include "queue/waitdecision.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <utility>

/// \file
/// Proxies callers' requests to targets: target selection and retries.

namespace bluebell::gateway {

/// Handles the requests on the address for callers.
class RequestProxy
{
public:
    RequestProxy(boost::asio::any_io_executor executor, GatewayState &state)
        : m_state(state), m_admission(state), m_attempts(std::move(executor), state)
    {
    }

    /// Processes one request and sends the response.
    [[nodiscard]] boost::asio::awaitable<void> handle(const HttpRequest &request,
                                                      HttpResponder &responder);

    /// Ends requests whose key is no longer valid in the new configuration. A key that another
    /// organisation holds now is valid.
    ///
    /// Requests that were not sent to a target are cancelled immediately. The deadline of the
    /// others is cut to three quarters of their callers' time, but not below a grace period.
    void applyConfig();

    /// Ends all requests, because the process is about to end: those that have no response yet are
    /// answered with an error.
    void endAll();

    /// \returns number of requests that wait or run
    [[nodiscard]] std::size_t requestCount() const noexcept { return m_active.size(); }

private:
    /// Admits a request and serves it.
    boost::asio::awaitable<Result<void>> process(const std::shared_ptr<RequestContext> &request,
                                                 HttpResponder &responder);
    /// Takes back what a request that has failed by an exception is counted in.
    ///
    /// \returns the error for the caller
    [[nodiscard]] Error abandon(RequestContext &it, std::string_view cause);
    boost::asio::awaitable<Result<void>> serve(RequestContext &it, HttpResponder &responder);
    boost::asio::awaitable<Result<TargetId>> awaitTarget(RequestContext &it);
    /// Tries once to select a target.
    ///
    /// \returns the target, the error that ends the request, or nothing if the request keeps
    /// waiting
    [[nodiscard]] std::optional<Result<TargetId>> selectTarget(RequestContext &it, TimePoint now);
    /// \returns whether another attempt is allowed after one that ended with `outcome`, apart from
    /// the retry budget
    [[nodiscard]] bool isRetryAllowed(const RequestContext &it, AttemptOutcome outcome,
                                      TimePoint now) const;
    /// \returns whether the retry budget allows another attempt; takes it from the budget
    [[nodiscard]] bool takeRetry(RequestContext &it, AttemptOutcome outcome);
    /// Takes another attempt from the retry budget. A stream that has begun waits for the budget as
    /// long as its caller waits for the next event.
    ///
    /// \returns whether another attempt may begin
    boost::asio::awaitable<bool> awaitRetry(RequestContext &it, AttemptOutcome outcome);
    [[nodiscard]] WaitFacts waitFacts(const RequestContext &it, TimePoint now) const;
    /// Notes in the request which hold-off it waits for, if hold-offs are all that keeps it from
    /// its targets.
    void noteHoldOff(RequestContext &it, TimePoint now) const;
    /// \returns whether the leader may still find a target that loads the request's model sooner
    /// than a hold-off ends
    [[nodiscard]] bool mayBeLoadedElsewhere(const RequestContext &it, TimePoint now) const;
    /// Gives a request that is about to be sent to the organisation that holds its key now.
    ///
    /// \returns an error if that one's rate is used up
    [[nodiscard]] Result<void> renewOrganisation(RequestContext &it);
    /// Sends the error response of a request that has got no response yet.
    ///
    /// \returns what the caller has got
    boost::asio::awaitable<Delivery> respondWithError(const RequestContext &it, Error error,
                                                      HttpResponder &responder);

    GatewayState &m_state;
    RequestAdmission m_admission;
    Attempts m_attempts;
    ActiveRequests m_active;
};

} // namespace bluebell::gateway
