#pragma once

#include "core/ids.h"
#include "core/result.h"
#include "core/time.h"
#include "rules/rule.h"

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <variant>
#include <vector>

/// \file
/// Queues of requests that wait for a target.

namespace bluebell {

/// Identifies a queued request on its daemon.
using TicketId = std::uint64_t;

/// A queued request.
struct QueuedRequest
{
    TicketId ticket = 0;
    OrganisationId organisation;
    /// Weight of the request's class, at least 1.
    std::uint32_t weight = 1;
    /// Upper bound of the work: prompt tokens plus the maximum of generated tokens.
    Tokens tokens = 0;
    /// Memory that the request occupies while it is queued.
    Bytes bytes = 0;
    TimePoint arrival;
    TimePoint deadline;
};

/// Limits on the queued requests of one organisation on one daemon.
struct QueueLimits
{
    std::size_t countPerOrganisation = 256;
    Bytes bytesPerOrganisation = 8U << 20U;
};

/// First in, first out; the baseline for comparison.
class FifoOrder
{
public:
    void add(const QueuedRequest &request);
    void remove(const QueuedRequest &request);
    [[nodiscard]] std::optional<TicketId> first() const;
    /// \returns the tokens that would be served before `request` if it were added now
    [[nodiscard]] Tokens tokensAhead(const QueuedRequest &request) const;
    void onDequeued(const QueuedRequest & /*request*/) noexcept { }

private:
    struct Entry
    {
        TicketId ticket = 0;
        Tokens tokens = 0;
    };
    std::list<Entry> m_entries;
};

/// Start-time fair queueing across organisations, weighted by class.
///
/// Each request is tagged with the virtual time at which it would start if every organisation with
/// queued requests received its weighted share of tokens. The lowest start tag is served first, so
/// that the backlog of one organisation delays only its own requests.
class FairOrder
{
public:
    void add(const QueuedRequest &request);
    void remove(const QueuedRequest &request);
    [[nodiscard]] std::optional<TicketId> first() const;
    [[nodiscard]] Tokens tokensAhead(const QueuedRequest &request) const;
    void onDequeued(const QueuedRequest &request);

private:
    struct Key
    {
        double start = 0;
        TicketId ticket = 0;
        friend auto operator<=>(const Key &, const Key &) = default;
    };
    /// A flow: the requests of one organisation in one class.
    struct FlowKey
    {
        OrganisationId organisation;
        std::uint32_t weight = 1;
        friend auto operator<=>(const FlowKey &, const FlowKey &) = default;
    };

    /// \returns the later of the virtual time and the finish tag of the request's flow
    [[nodiscard]] double startTag(const QueuedRequest &request) const;
    /// \returns the tokens of the request divided by its weight
    [[nodiscard]] static double virtualDuration(const QueuedRequest &request);

    double m_virtualTime = 0;
    std::map<Key, Tokens> m_entries;
    std::map<TicketId, double> m_starts;
    /// Finish tag of the last request of each flow.
    std::map<FlowKey, double> m_finish;
};

using QueueOrder = std::variant<FairOrder, FifoOrder>;

/// \returns an empty queue order of the kind that the policy rule selects
[[nodiscard]] QueueOrder makeQueueOrder(QueueKind kind);

/// Queue of the requests for one model on one daemon, with limits, deadlines and early refusal.
class RequestQueue
{
public:
    RequestQueue(QueueOrder order, QueueLimits limits);

    /// Adds a request.
    ///
    /// \returns Overloaded when a limit of its organisation is reached or the estimated wait
    /// exceeds its deadline
    [[nodiscard]] Result<void> push(const QueuedRequest &request, TimePoint now);

    /// Removes the next request to serve.
    ///
    /// \returns nothing when the queue is empty or the next request is past its deadline; such a
    /// request stays until expire() removes it
    [[nodiscard]] std::optional<QueuedRequest> pop(TimePoint now);

    /// Removes and returns the requests whose deadline has passed.
    [[nodiscard]] std::vector<QueuedRequest> expire(TimePoint now);

    /// Removes one request, because its caller has disconnected or its key was withdrawn.
    ///
    /// \returns whether the request was queued
    bool remove(TicketId ticket);

    /// Records finished work, from which the service rate is estimated.
    void noteServed(Tokens tokens, TimePoint now);

    /// \returns the time that `request` would wait if it were added now, if the rate is known
    [[nodiscard]] std::optional<Duration> estimateWait(const QueuedRequest &request) const;

    [[nodiscard]] std::size_t size() const noexcept { return m_requests.size(); }
    /// \returns the sum of tokens of all queued requests
    [[nodiscard]] Tokens tokens() const noexcept { return m_tokens; }
    /// \returns all queued requests, in no particular order
    [[nodiscard]] std::vector<QueuedRequest> waiting() const;

private:
    struct Usage
    {
        std::size_t count = 0;
        Bytes bytes = 0;
    };

    /// Removes a request that must be queued.
    [[nodiscard]] QueuedRequest extract(TicketId ticket);

    QueueOrder m_order;
    QueueLimits m_limits;
    std::map<TicketId, QueuedRequest> m_requests;
    std::map<OrganisationId, Usage> m_usage;
    Tokens m_tokens = 0;
    /// Estimated service rate in tokens per second; 0 while unknown.
    double m_rate = 0;
    TimePoint m_rateSince;
    Tokens m_rateTokens = 0;
};

} // namespace bluebell
