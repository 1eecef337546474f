#pragma once

#include "entry/configview.h"
#include "entry/rategate.h"
#include "http/server.h"
#include "metrics/metrics.h"
#include "orders/orderflow.h"
#include "records/table.h"
#include "routing/router.h"
#include "streams/streamassembler.h"

/// \file
/// Calls to plain services; those that may not be repeated run at most once.

namespace bluebell::entry {

class ServiceHandler
{
public:
    ServiceHandler(const ConfigView &config, RecordTable records, RateGate &gate, Metrics &metrics);

    /// Serves a request that has passed the filters.
    boost::asio::awaitable<void> serve(RequestContext &context, const HttpRequest &request,
                                       HttpResponder &responder);

private:
    boost::asio::awaitable<Result<RecordedAnswer>> callIdempotent(const RequestContext &context,
                                                                  HttpRequest request);
    boost::asio::awaitable<Result<RecordedAnswer>> callOnce(const RequestContext &context,
                                                            HttpRequest request, OrderKey key);
    boost::asio::awaitable<OrderAction> insertClaim(OrderFlow &flow, std::string rowKey);
    boost::asio::awaitable<OrderAction> dispatch(OrderFlow &flow, const RequestContext &context,
                                                 HttpRequest request);
    boost::asio::awaitable<OrderAction> releaseClaim(OrderFlow &flow, std::string rowKey);
    boost::asio::awaitable<OrderAction> writeRecord(OrderFlow &flow, std::string rowKey,
                                                    OrderRecord record);
    [[nodiscard]] std::vector<Endpoint> targetsOf(const RequestContext &context) const;

    const ConfigView &m_config;
    RecordTable m_records;
    RateGate &m_gate;
    Metrics &m_metrics;
    ClaimWatch m_claims;
    RetryBudget m_budget;
    std::size_t m_nextTarget = 0;
};

} // namespace bluebell::entry
