#pragma once

#include "entry/configview.h"
#include "entry/ratelimiter.h"
#include "http/server.h"
#include "idempotency/nonidempotentcall.h"
#include "metrics/metrics.h"
#include "records/table.h"
#include "routing/router.h"
#include "streams/streamassembler.h"

/// \file
/// Calls to plain services.

namespace bluebell::entry {

/// Forwards calls to the targets of a route.
///
/// Idempotent calls are retried within a retry budget. Other calls need an idempotency key and run
/// at most once for each key; their response is recorded in the table and sent again on a repeat.
class ServiceHandler
{
public:
    ServiceHandler(const ConfigView &config, RecordTable records, RateLimiter &rateLimiter,
                   Metrics &metrics);

    /// Serves a request that has passed the filters and settles its rate reservation.
    boost::asio::awaitable<void> serve(RequestContext &context, const HttpRequest &request,
                                       HttpResponder &responder);

private:
    boost::asio::awaitable<Result<RecordedResponse>> callIdempotent(const RequestContext &context,
                                                                    HttpRequest request);
    boost::asio::awaitable<Result<RecordedResponse>>
    callOnce(const RequestContext &context, HttpRequest request, IdempotencyKey key);
    boost::asio::awaitable<CallAction> insertClaim(NonIdempotentCall &flow, std::string rowKey);
    boost::asio::awaitable<CallAction> dispatch(NonIdempotentCall &flow,
                                                const RequestContext &context, HttpRequest request);
    boost::asio::awaitable<CallAction> releaseClaim(NonIdempotentCall &flow, std::string rowKey);
    boost::asio::awaitable<CallAction> writeRecord(NonIdempotentCall &flow, std::string rowKey,
                                                   IdempotencyRecord record);
    /// \returns the addresses of the targets of the request's route
    [[nodiscard]] std::vector<Endpoint> targetsOf(const RequestContext &context) const;

    const ConfigView &m_config;
    RecordTable m_records;
    RateLimiter &m_rateLimiter;
    Metrics &m_metrics;
    ClaimTracker m_claims;
    RetryBudget m_budget;
    std::shared_ptr<MemoryBudget> m_memory;
    /// Counter for round-robin selection of targets.
    std::size_t m_nextTarget = 0;
};

} // namespace bluebell::entry
