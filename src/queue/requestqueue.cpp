#include "queue/requestqueue.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace bluebell {
namespace {

/// Shortest interval over which the service rate is sampled.
constexpr Duration RateWindow = std::chrono::seconds(1);
/// Weight of the newest sample in the exponential moving average.
constexpr double RateSmoothing = 0.5;
/// Age of the last sample at which noteServed() discards the estimate of the service rate.
constexpr Duration RateLifetime = std::chrono::seconds(10);

} // namespace

// FifoOrder

void FifoOrder::add(const QueuedRequest &waiting)
{
    m_entries.push_back({ waiting.ticket, waiting.tokens });
}

void FifoOrder::remove(const QueuedRequest &waiting)
{
    std::erase_if(m_entries, [&](const Entry &it) { return it.ticket == waiting.ticket; });
}

std::optional<TicketId> FifoOrder::first() const
{
    if (m_entries.empty())
        return std::nullopt;
    return m_entries.front().ticket;
}

Tokens FifoOrder::tokensAhead(const QueuedRequest & /*waiting*/) const
{
    Tokens sum = 0;
    for (const auto &it : m_entries)
        sum += it.tokens;
    return sum;
}

// FairOrder

double FairOrder::virtualDuration(const QueuedRequest &waiting)
{
    return static_cast<double>(std::max<Tokens>(waiting.tokens, 1)) / waiting.weight;
}

double FairOrder::startTag(const QueuedRequest &waiting) const
{
    const auto it = m_finish.find({ waiting.organisation, waiting.weight });
    return it == m_finish.end() ? m_virtualTime : std::max(m_virtualTime, it->second);
}

void FairOrder::add(const QueuedRequest &waiting)
{
    const auto start = startTag(waiting);
    m_finish[{ waiting.organisation, waiting.weight }] = start + virtualDuration(waiting);
    m_entries.emplace(Key { start, waiting.ticket }, waiting.tokens);
    m_starts.emplace(waiting.ticket, start);
}

void FairOrder::remove(const QueuedRequest &waiting)
{
    const auto it = m_starts.find(waiting.ticket);
    if (it == m_starts.end())
        return;
    m_entries.erase({ it->second, waiting.ticket });
    m_starts.erase(it);
    if (m_entries.empty())
        m_finish.clear();
}

std::optional<TicketId> FairOrder::first() const
{
    if (m_entries.empty())
        return std::nullopt;
    return m_entries.begin()->first.ticket;
}

Tokens FairOrder::tokensAhead(const QueuedRequest &waiting) const
{
    const auto start = startTag(waiting);
    Tokens sum = 0;
    for (const auto &[key, tokens] : m_entries) {
        if (key.start > start)
            break;
        sum += tokens;
    }
    return sum;
}

void FairOrder::onDequeued(const QueuedRequest &waiting)
{
    if (const auto it = m_starts.find(waiting.ticket); it != m_starts.end())
        m_virtualTime = std::max(m_virtualTime, it->second);
}

QueueOrder makeQueueOrder(QueueKind kind)
{
    if (kind == QueueKind::FirstCome)
        return FifoOrder {};
    return FairOrder {};
}

// RequestQueue

RequestQueue::RequestQueue(QueueOrder order, QueueLimits limits)
    : m_order(std::move(order)), m_limits(limits)
{
}

Result<void> RequestQueue::push(const QueuedRequest &waiting, TimePoint now)
{
    auto &usage = m_usage[waiting.organisation];
    const auto estimate = estimateWait(waiting);
    const bool isFull = usage.count >= m_limits.countPerOrganisation
            || usage.bytes + waiting.bytes > m_limits.bytesPerOrganisation;
    if (isFull)
        return Error { ErrorCode::Overloaded, "too many requests of this organisation are waiting",
                       Execution::NotRun, estimate };
    if (estimate && now + *estimate > waiting.deadline)
        return Error { ErrorCode::Overloaded, "the request would not be served in time",
                       Execution::NotRun, *estimate - (waiting.deadline - now) };
    ++usage.count;
    usage.bytes += waiting.bytes;
    m_tokens += waiting.tokens;
    std::visit([&](auto &order) { order.add(waiting); }, m_order);
    m_waiting.emplace(waiting.ticket, waiting);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

std::optional<QueuedRequest> RequestQueue::pop(TimePoint now)
{
    const auto ticket = std::visit([](const auto &order) { return order.first(); }, m_order);
    if (!ticket)
        return std::nullopt;
    const auto &waiting = m_waiting.at(*ticket);
    if (waiting.deadline <= now)
        return std::nullopt;
    std::visit([&](auto &order) { order.onDequeued(waiting); }, m_order);
    return extract(*ticket);
}

std::vector<QueuedRequest> RequestQueue::expire(TimePoint now)
{
    std::vector<TicketId> due;
    for (const auto &[ticket, waiting] : m_waiting)
        if (waiting.deadline <= now)
            due.push_back(ticket);
    std::vector<QueuedRequest> expired;
    expired.reserve(due.size());
    for (const auto ticket : due)
        expired.push_back(extract(ticket));
    return expired;
}

bool RequestQueue::remove(TicketId ticket)
{
    if (!m_waiting.contains(ticket))
        return false;
    (void)extract(ticket);
    return true;
}

QueuedRequest RequestQueue::extract(TicketId ticket)
{
    const auto it = m_waiting.find(ticket);
    assert(it != m_waiting.end());
    QueuedRequest waiting = std::move(it->second);
    m_waiting.erase(it);
    std::visit([&](auto &order) { order.remove(waiting); }, m_order);
    m_tokens -= waiting.tokens;
    const auto usage = m_usage.find(waiting.organisation);
    usage->second.bytes -= waiting.bytes;
    if (--usage->second.count == 0)
        m_usage.erase(usage);
    return waiting;
}

void RequestQueue::noteServed(Tokens tokens, TimePoint now)
{
    if (now - m_rateSince > RateLifetime) {
        m_rate = 0;
        m_rateSince = now;
        m_rateTokens = 0;
    }
    m_rateTokens += tokens;
    const auto elapsed = now - m_rateSince;
    if (elapsed < RateWindow)
        return;
    const auto rate = static_cast<double>(m_rateTokens) / toSeconds(elapsed);
    m_rate = m_rate == 0 ? rate : (RateSmoothing * rate) + ((1 - RateSmoothing) * m_rate);
    m_rateSince = now;
    m_rateTokens = 0;
}

std::optional<Duration> RequestQueue::estimateWait(const QueuedRequest &waiting) const
{
    if (m_rate <= 0)
        return std::nullopt;
    const auto ahead =
            std::visit([&](const auto &order) { return order.tokensAhead(waiting); }, m_order);
    const std::chrono::duration<double> wait(static_cast<double>(ahead) / m_rate);
    return std::chrono::duration_cast<Duration>(wait);
}

std::vector<QueuedRequest> RequestQueue::waiting() const
{
    std::vector<QueuedRequest> list;
    list.reserve(m_waiting.size());
    for (const auto &[ticket, waiting] : m_waiting)
        list.push_back(waiting);
    return list;
}

} // namespace bluebell
