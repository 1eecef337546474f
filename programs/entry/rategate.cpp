#include "entry/rategate.h"

#include "io/notifier.h"

#include <algorithm>
#include <utility>

namespace asio = boost::asio;

namespace bluebell::entry {
namespace {

constexpr Duration ReportEvery = std::chrono::milliseconds(500);
constexpr Duration AskTimeout = std::chrono::milliseconds(400);
constexpr Duration AvoidTime = std::chrono::milliseconds(300);
constexpr Duration RetryPause = std::chrono::milliseconds(50);
/// How long a request waits for a home that is moving.
constexpr Duration LongestMove = std::chrono::seconds(3);

} // namespace

RateGate::RateGate(PeerNode &peers, const ConfigView &config, std::string name)
    : m_peers(peers), m_config(config), m_name(std::move(name))
{
}

asio::awaitable<void> RateGate::run()
{
    while (!m_isStopping) {
        co_await flush();
        co_await sleepFor(ReportEvery);
    }
}

asio::awaitable<void> RateGate::flush()
{
    std::vector<SourceKey> keys;
    for (const auto &[key, source] : m_sources)
        keys.push_back(key);
    for (const auto &key : keys)
        co_await report(key);
}

RateGate::Source &RateGate::source(const SourceKey &key)
{
    const auto it = m_sources.find(key);
    if (it != m_sources.end())
        return it->second;
    auto name = m_name + '/' + key.organisation.value() + '/' + std::to_string(key.source);
    return m_sources.emplace(key, Source { GrantHolder(std::move(name)), {} }).first->second;
}

std::size_t RateGate::sourceCount() const
{
    return m_config.replica().rules()->policy.baseParts + 1;
}

std::optional<Endpoint> RateGate::addressOf(const SourceKey &key) const
{
    return m_config.holderOf(key.source == 0 ? homeRole(key.organisation)
                                             : baseShareRole(key.organisation, key.source - 1));
}

bool RateGate::admitLocally(RequestContext &context, std::uint8_t number)
{
    auto &it = source({ context.organisation, number });
    const auto reservation = it.holder.admit(context.tokens, BootClock::now());
    if (!reservation)
        return false;
    context.reservation = RateReservation { number, *reservation, context.tokens };
    return true;
}

asio::awaitable<Result<void>> RateGate::admit(RequestContext &context)
{
    const auto giveUpAt = std::min(context.deadline, BootClock::now() + LongestMove);
    for (;;) {
        const auto sources = static_cast<std::uint8_t>(sourceCount());
        for (std::uint8_t n = 0; n < sources; ++n)
            if (admitLocally(context, n))
                co_return BOOST_OUTCOME_V2_NAMESPACE::success();
        bool isHomeAway = false;
        std::optional<Duration> retryAfter;
        for (std::uint8_t n = 0; n < sources; ++n) {
            const auto attempt = co_await ask(context, n);
            if (attempt.outcome == Asked::Granted)
                co_return BOOST_OUTCOME_V2_NAMESPACE::success();
            if (n == 0)
                isHomeAway = attempt.outcome == Asked::Away;
            if (n == 0 || !retryAfter)
                retryAfter = attempt.retryAfter;
        }
        if (!isHomeAway)
            co_return Error { ErrorCode::RateLimited,
                              retryAfter ? "the organisation's rate is used up"
                                         : "the request is larger than the organisation's burst",
                              Execution::NotRun, retryAfter };
        if (BootClock::now() + RetryPause >= giveUpAt)
            co_return Error { ErrorCode::Unavailable, "the home of the organisation's rate is away",
                              Execution::NotRun, retryAfter.value_or(LongestMove) };
        co_await sleepFor(RetryPause);
    }
}

asio::awaitable<RateGate::Attempt> RateGate::ask(RequestContext &context, std::uint8_t number)
{
    const SourceKey key { context.organisation, number };
    const auto address = addressOf(key);
    auto &it = source(key);
    const auto now = BootClock::now();
    if (!address || now < it.avoidUntil)
        co_return Attempt {};
    AcquireQuestion question { context.organisation, it.holder.question(context.tokens, now),
                               it.holder.takeReports(now), number };
    auto answer = expectAnswer<AcquireAnswer>(co_await m_peers.ask(*address, question, AskTimeout));
    if (!answer || std::holds_alternative<NotHome>(answer.value())) {
        it.holder.reportsLost(question.reports);
        it.avoidUntil = answer ? TimePoint {} : BootClock::now() + AvoidTime;
        co_return Attempt {};
    }
    if (const auto *granted = std::get_if<Granted>(&answer.value())) {
        it.holder.answered(*granted);
        co_return Attempt { admitLocally(context, number) ? Asked::Granted : Asked::Away, {} };
    }
    it.holder.refused(question.question.id);
    if (const auto *refused = std::get_if<RateRefused>(&answer.value()))
        co_return Attempt { Asked::Refused, refused->retryAfter };
    co_return Attempt {};
}

void RateGate::progress(const RequestContext &context, Tokens used)
{
    if (!context.reservation)
        return;
    const SourceKey key { context.organisation, context.reservation->source };
    source(key).holder.progress(context.reservation->id, used);
}

void RateGate::settle(RequestContext &context, Tokens used)
{
    if (!context.reservation)
        return;
    const auto reservation = *std::exchange(context.reservation, std::nullopt);
    source({ context.organisation, reservation.source }).holder.settle(reservation.id, used);
}

asio::awaitable<void> RateGate::report(SourceKey key)
{
    auto &it = source(key);
    const auto address = addressOf(key);
    if (!address)
        co_return;
    AcquireQuestion question {
        key.organisation, {}, it.holder.takeReports(BootClock::now()), key.source
    };
    if (question.reports.empty())
        co_return;
    const auto answer =
            expectAnswer<AcquireAnswer>(co_await m_peers.ask(*address, question, AskTimeout));
    if (!answer)
        it.holder.reportsLost(question.reports);
}

} // namespace bluebell::entry
