#include "entry/ratelimiter.h"

#include "io/notifier.h"

#include <algorithm>
#include <utility>

namespace asio = boost::asio;

namespace bluebell::entry {
namespace {

/// Interval at which grant reports are sent.
constexpr Duration ReportInterval = std::chrono::milliseconds(500);
constexpr Duration GrantTimeout = std::chrono::milliseconds(400);
/// How long a grant source that did not respond is skipped.
constexpr Duration SourceBackoff = std::chrono::milliseconds(300);
constexpr Duration RetryInterval = std::chrono::milliseconds(50);
/// How long a request waits while the home of its rate moves to another daemon.
constexpr Duration MaxHomeMoveTime = std::chrono::seconds(3);

} // namespace

RateLimiter::RateLimiter(PeerNode &peers, const ConfigView &config, std::string name)
    : m_peers(peers), m_config(config), m_name(std::move(name))
{
}

asio::awaitable<void> RateLimiter::run()
{
    while (!m_isStopping) {
        co_await flush();
        co_await sleepFor(ReportInterval);
    }
}

asio::awaitable<void> RateLimiter::flush()
{
    std::vector<SourceKey> keys;
    for (const auto &[key, source] : m_sources)
        keys.push_back(key);
    for (const auto &key : keys)
        co_await sendReports(key);
}

RateLimiter::Source &RateLimiter::source(const SourceKey &key)
{
    const auto it = m_sources.find(key);
    if (it != m_sources.end())
        return it->second;
    auto name = m_name + '/' + key.organisation.value() + '/' + std::to_string(key.source);
    return m_sources.emplace(key, Source { GrantHolder(std::move(name)), {} }).first->second;
}

std::size_t RateLimiter::sourceCount() const
{
    return m_config.replica().rules()->policy.baseParts + 1;
}

std::optional<Endpoint> RateLimiter::addressOf(const SourceKey &key) const
{
    return m_config.holderOf(key.source == 0 ? homeRole(key.organisation)
                                             : baseShareRole(key.organisation, key.source - 1));
}

bool RateLimiter::admitLocally(RequestContext &context, std::uint8_t sourceNumber)
{
    auto &it = source({ context.organisation, sourceNumber });
    const auto reservation = it.holder.admit(context.tokens, BootClock::now());
    if (!reservation)
        return false;
    context.reservation = RateReservation { sourceNumber, *reservation, context.tokens };
    return true;
}

asio::awaitable<Result<void>> RateLimiter::admit(RequestContext &context)
{
    const auto retryUntil = std::min(context.deadline, BootClock::now() + MaxHomeMoveTime);
    for (;;) {
        const auto sources = static_cast<std::uint8_t>(sourceCount());
        for (std::uint8_t n = 0; n < sources; ++n)
            if (admitLocally(context, n))
                co_return BOOST_OUTCOME_V2_NAMESPACE::success();
        bool isHomeUnavailable = false;
        std::optional<Duration> retryAfter;
        for (std::uint8_t n = 0; n < sources; ++n) {
            const auto attempt = co_await requestGrant(context, n);
            if (attempt.outcome == GrantOutcome::Granted)
                co_return BOOST_OUTCOME_V2_NAMESPACE::success();
            if (n == 0)
                isHomeUnavailable = attempt.outcome == GrantOutcome::SourceUnavailable;
            if (n == 0 || !retryAfter)
                retryAfter = attempt.retryAfter;
        }
        if (!isHomeUnavailable)
            co_return Error { ErrorCode::RateLimited,
                              retryAfter ? "the organisation's rate is used up"
                                         : "the request is larger than the organisation's burst",
                              Execution::NotRun, retryAfter };
        if (BootClock::now() + RetryInterval >= retryUntil)
            co_return Error { ErrorCode::Unavailable, "the home of the organisation's rate is away",
                              Execution::NotRun, retryAfter.value_or(MaxHomeMoveTime) };
        co_await sleepFor(RetryInterval);
    }
}

asio::awaitable<RateLimiter::GrantAttempt> RateLimiter::requestGrant(RequestContext &context,
                                                                     std::uint8_t sourceNumber)
{
    const SourceKey key { context.organisation, sourceNumber };
    const auto address = addressOf(key);
    auto &it = source(key);
    const auto now = BootClock::now();
    if (!address || now < it.backoffUntil)
        co_return GrantAttempt {};
    AcquireQuestion request { context.organisation, it.holder.question(context.tokens, now),
                              it.holder.takeReports(now), sourceNumber };
    auto response =
            expectAnswer<AcquireAnswer>(co_await m_peers.ask(*address, request, GrantTimeout));
    if (!response || std::holds_alternative<NotHome>(response.value())) {
        it.holder.requeueReports(request.reports);
        it.backoffUntil = response ? TimePoint {} : BootClock::now() + SourceBackoff;
        co_return GrantAttempt {};
    }
    if (const auto *granted = std::get_if<Granted>(&response.value())) {
        it.holder.answered(*granted);
        co_return GrantAttempt { admitLocally(context, sourceNumber)
                                         ? GrantOutcome::Granted
                                         : GrantOutcome::SourceUnavailable,
                                 {} };
    }
    it.holder.refused(request.question.id);
    if (const auto *refused = std::get_if<RateRefused>(&response.value()))
        co_return GrantAttempt { GrantOutcome::Refused, refused->retryAfter };
    co_return GrantAttempt {};
}

void RateLimiter::noteProgress(const RequestContext &context, Tokens used)
{
    if (!context.reservation)
        return;
    const SourceKey key { context.organisation, context.reservation->source };
    source(key).holder.progress(context.reservation->id, used);
}

void RateLimiter::settle(RequestContext &context, Tokens used)
{
    if (!context.reservation)
        return;
    const auto reservation = *std::exchange(context.reservation, std::nullopt);
    source({ context.organisation, reservation.source }).holder.settle(reservation.id, used);
}

asio::awaitable<void> RateLimiter::sendReports(SourceKey key)
{
    auto &it = source(key);
    const auto address = addressOf(key);
    if (!address)
        co_return;
    AcquireQuestion request {
        key.organisation, {}, it.holder.takeReports(BootClock::now()), key.source
    };
    if (request.reports.empty())
        co_return;
    const auto response =
            expectAnswer<AcquireAnswer>(co_await m_peers.ask(*address, request, GrantTimeout));
    if (!response)
        it.holder.requeueReports(request.reports);
}

} // namespace bluebell::entry
