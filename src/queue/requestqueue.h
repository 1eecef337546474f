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
/// Requests that wait for a target.

namespace bluebell {

/// Names one waiting request at one daemon.
using TicketId = std::uint64_t;

/// A request that waits.
struct Waiting
{
    TicketId ticket = 0;
    OrganisationId organisation;
    /// Weight of the request's class, at least 1.
    std::uint32_t weight = 1;
    /// Upper bound of the work: prompt plus allowed answer.
    Tokens tokens = 0;
    /// Memory that the request holds while it waits.
    Bytes bytes = 0;
    TimePoint arrival;
    TimePoint deadline;
};

/// Bounds on what one organisation may have waiting at one daemon.
struct QueueLimits
{
    std::size_t countPerOrganisation = 256;
    Bytes bytesPerOrganisation = 8U << 20U;
};

/// Serves in the order of arrival; the baseline.
class FirstComeOrder
{
public:
    void add(const Waiting &waiting);
    void remove(const Waiting &waiting);
    [[nodiscard]] std::optional<TicketId> first() const;
    /// \returns the tokens that are served before a request like `waiting`
    [[nodiscard]] Tokens tokensAhead(const Waiting &waiting) const;
    void served(const Waiting & /*waiting*/) noexcept { }

private:
    struct Entry
    {
        TicketId ticket = 0;
        Tokens tokens = 0;
    };
    std::list<Entry> m_entries;
};

/// Start-time fair queueing over organisations, weighted by class.
///
/// An organisation's requests are tagged with the virtual time at which they would start if every
/// waiting organisation had its share of tokens. The lowest tag is served first, so that one
/// organisation's backlog delays its own requests.
class FairOrder
{
public:
    void add(const Waiting &waiting);
    void remove(const Waiting &waiting);
    [[nodiscard]] std::optional<TicketId> first() const;
    [[nodiscard]] Tokens tokensAhead(const Waiting &waiting) const;
    void served(const Waiting &waiting);

private:
    struct Key
    {
        double start = 0;
        TicketId ticket = 0;
        friend auto operator<=>(const Key &, const Key &) = default;
    };
    /// A flow is what one organisation sends in one class.
    struct FlowKey
    {
        OrganisationId organisation;
        std::uint32_t weight = 1;
        friend auto operator<=>(const FlowKey &, const FlowKey &) = default;
    };

    [[nodiscard]] double startTag(const Waiting &waiting) const;
    [[nodiscard]] static double span(const Waiting &waiting);

    double m_virtualTime = 0;
    std::map<Key, Tokens> m_entries;
    std::map<TicketId, double> m_starts;
    std::map<FlowKey, double> m_finish;
};

using QueueOrder = std::variant<FairOrder, FirstComeOrder>;

/// \returns the order that a policy rule names
[[nodiscard]] QueueOrder makeQueueOrder(QueueKind kind);

/// Waiting requests of one model at one daemon, with bounds, deadlines and early refusal.
class RequestQueue
{
public:
    RequestQueue(QueueOrder order, QueueLimits limits);

    /// Takes in a request, or refuses it when its organisation's bound is reached or when the
    /// estimate says that it will not be served before its deadline.
    [[nodiscard]] Result<void> push(const Waiting &waiting, TimePoint now);

    /// Takes out the next request to serve. Requests past their deadline stay for expire().
    [[nodiscard]] std::optional<Waiting> pop(TimePoint now);

    /// Takes out the requests whose deadline has come.
    [[nodiscard]] std::vector<Waiting> expire(TimePoint now);

    /// Takes out one request, because its caller has gone or its key was withdrawn.
    bool remove(TicketId ticket);

    /// Notes finished work, from which the service rate is estimated.
    void noteServed(Tokens tokens, TimePoint now);

    /// \returns the time that a request like `waiting` would wait, if the rate is known
    [[nodiscard]] std::optional<Duration> estimateWait(const Waiting &waiting) const;

    [[nodiscard]] std::size_t size() const noexcept { return m_waiting.size(); }
    [[nodiscard]] Tokens tokens() const noexcept { return m_tokens; }
    /// \returns all waiting requests, in no particular order
    [[nodiscard]] std::vector<Waiting> waiting() const;

private:
    struct Usage
    {
        std::size_t count = 0;
        Bytes bytes = 0;
    };

    [[nodiscard]] Waiting takeOut(TicketId ticket);

    QueueOrder m_order;
    QueueLimits m_limits;
    std::map<TicketId, Waiting> m_waiting;
    std::map<OrganisationId, Usage> m_usage;
    Tokens m_tokens = 0;
    /// Served tokens per second; 0 while unknown.
    double m_rate = 0;
    TimePoint m_rateSince;
    Tokens m_rateTokens = 0;
};

} // namespace bluebell
