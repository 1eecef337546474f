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

void FifoOrder::add(const QueuedRequest &request)
{
    m_entries.push_back({ request.ticket, request.tokens });
}

void FifoOrder::remove(const QueuedRequest &request)
{
    std::erase_if(m_entries, [&](const Entry &it) { return it.ticket == request.ticket; });
}

std::optional<TicketId> FifoOrder::first() const
{
    if (m_entries.empty())
        return std::nullopt;
    return m_entries.front().ticket;
}

Tokens FifoOrder::tokensAhead(const QueuedRequest & /*request*/) const
{
    Tokens sum = 0;
    for (const auto &it : m_entries)
        sum += it.tokens;
    return sum;
}

// FairOrder

double FairOrder::virtualDuration(const QueuedRequest &request)
{
    return static_cast<double>(std::max<Tokens>(request.tokens, 1)) / request.weight;
}

double FairOrder::startTag(const QueuedRequest &request) const
{
    const auto it = m_finish.find({ request.organisation, request.weight });
    return it == m_finish.end() ? m_virtualTime : std::max(m_virtualTime, it->second);
}

void FairOrder::add(const QueuedRequest &request)
{
    const auto start = startTag(request);
    m_finish[{ request.organisation, request.weight }] = start + virtualDuration(request);
    m_entries.emplace(Key { start, request.ticket }, request.tokens);
    m_starts.emplace(request.ticket, start);
}

void FairOrder::remove(const QueuedRequest &request)
{
    const auto it = m_starts.find(request.ticket);
    if (it == m_starts.end())
        return;
    m_entries.erase({ it->second, request.ticket });
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

Tokens FairOrder::tokensAhead(const QueuedRequest &request) const
{
    const auto start = startTag(request);
    Tokens sum = 0;
    for (const auto &[key, tokens] : m_entries) {
        if (key.start > start)
            break;
        sum += tokens;
    }
    return sum;
}

void FairOrder::onDequeued(const QueuedRequest &request)
{
    if (const auto it = m_starts.find(request.ticket); it != m_starts.end())
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

Result<void> RequestQueue::push(const QueuedRequest &request, TimePoint now)
{
    auto &usage = m_usage[request.organisation];
    const auto estimate = estimateWait(request);
    const bool isFull = usage.count >= m_limits.countPerOrganisation
            || usage.bytes + request.bytes > m_limits.bytesPerOrganisation;
    if (isFull)
        return Error { ErrorCode::Overloaded, "too many requests of this organisation are waiting",
                       Execution::NotRun, estimate };
    if (estimate && now + *estimate > request.deadline)
        return Error { ErrorCode::Overloaded, "the request would not be served in time",
                       Execution::NotRun, *estimate - (request.deadline - now) };
    ++usage.count;
    usage.bytes += request.bytes;
    m_tokens += request.tokens;
    std::visit([&](auto &order) { order.add(request); }, m_order);
    m_requests.emplace(request.ticket, request);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

std::optional<QueuedRequest> RequestQueue::pop(TimePoint now)
{
    const auto ticket = std::visit([](const auto &order) { return order.first(); }, m_order);
    if (!ticket)
        return std::nullopt;
    const auto &request = m_requests.at(*ticket);
    if (request.deadline <= now)
        return std::nullopt;
    std::visit([&](auto &order) { order.onDequeued(request); }, m_order);
    return extract(*ticket);
}

std::vector<QueuedRequest> RequestQueue::expire(TimePoint now)
{
    std::vector<TicketId> due;
    for (const auto &[ticket, request] : m_requests)
        if (request.deadline <= now)
            due.push_back(ticket);
    std::vector<QueuedRequest> expired;
    expired.reserve(due.size());
    for (const auto ticket : due)
        expired.push_back(extract(ticket));
    return expired;
}

bool RequestQueue::remove(TicketId ticket)
{
    if (!m_requests.contains(ticket))
        return false;
    (void)extract(ticket);
    return true;
}

QueuedRequest RequestQueue::extract(TicketId ticket)
{
    const auto it = m_requests.find(ticket);
    assert(it != m_requests.end());
    QueuedRequest request = std::move(it->second);
    m_requests.erase(it);
    std::visit([&](auto &order) { order.remove(request); }, m_order);
    m_tokens -= request.tokens;
    const auto usage = m_usage.find(request.organisation);
    usage->second.bytes -= request.bytes;
    if (--usage->second.count == 0)
        m_usage.erase(usage);
    return request;
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

std::optional<Duration> RequestQueue::estimateWait(const QueuedRequest &request) const
{
    if (m_rate <= 0)
        return std::nullopt;
    const auto ahead =
            std::visit([&](const auto &order) { return order.tokensAhead(request); }, m_order);
    const std::chrono::duration<double> wait(static_cast<double>(ahead) / m_rate);
    return std::chrono::duration_cast<Duration>(wait);
}

std::vector<QueuedRequest> RequestQueue::waiting() const
{
    std::vector<QueuedRequest> list;
    list.reserve(m_requests.size());
    for (const auto &[ticket, request] : m_requests)
        list.push_back(request);
    return list;
}

} // namespace bluebell
