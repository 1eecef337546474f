#pragma once

#include "gateway/gatewaystate.h"
#include "gateway/requestcontext.h"

/// \file
/// Admits callers' requests: route, organisation, service, deadline and rate limit.

namespace bluebell::gateway {

/// Checks requests against the configuration and the rate limits of organisations.
class RequestAdmission
{
public:
    explicit RequestAdmission(GatewayState &state) : m_state(state) { }

    /// Determines route, organisation, service and deadline.
    ///
    /// \returns an error if the configuration does not allow the request
    [[nodiscard]] Result<void> resolve(RequestContext &it) const;

    /// Checks that no part of the prompt is in quarantine, or makes the request its trial. A
    /// request that may be sound passes; it becomes a trial when it is sent, see startTrial().
    ///
    /// \returns an error that names the part otherwise
    [[nodiscard]] Result<void> checkQuarantine(RequestContext &it);

    /// Makes a request that is about to be sent a trial, if it has to be one.
    ///
    /// \returns whether it may be sent now
    [[nodiscard]] bool startTrial(RequestContext &it, TimePoint now);

    /// Takes the request's tokens from the organisation's rate.
    ///
    /// \returns RateLimited if the rate is used up
    [[nodiscard]] Result<void> reserveRate(RequestContext &it);

    /// Refunds the reserved tokens if no target has executed the request since they were taken.
    void refundRate(RequestContext &it);

    /// \returns whether the configuration in force allows requests with the request's key, whatever
    /// organisation holds it
    [[nodiscard]] bool isKeyHeld(const RequestContext &it) const;

    /// Gives a request that is about to be sent to the organisation that holds its key now. Tokens
    /// that were taken for it from another one are refunded and taken anew. An attempt that has run
    /// stays counted at the organisation for which it was sent.
    ///
    /// \returns RateLimited if the rate is used up
    [[nodiscard]] Result<void> renewOrganisation(RequestContext &it);

private:
    GatewayState &m_state;
};

} // namespace bluebell::gateway
