#include "gateway/daemon.h"

#include "core/clockwatch.h"
#include "core/log.h"
#include "peer/statuscodec.h"
#include "platform/requests.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace asio = boost::asio;

namespace bluebell::gateway {
namespace {

using std::chrono::milliseconds;

/// How long callers may keep an answer about addresses.
constexpr Duration HoldTime = milliseconds(1000);
/// Some callers keep an answer this many times as long.
constexpr int HoldFactor = 3;
/// Before the forced end of a stop.
constexpr Duration StopMargin = milliseconds(400);
constexpr Duration StopTick = milliseconds(50);
/// Requests that begin to wait within this time are told to the holder of the role together.
constexpr Duration DemandGather = milliseconds(4);
/// Between two looks at the clocks.
constexpr Duration ClockTick = milliseconds(500);
/// Time to read a request beyond the bound on its head.
constexpr Duration BodyTime = std::chrono::seconds(10);

HttpLimits systemLimits()
{
    HttpLimits it;
    it.bodyBytes = 64U << 10U;
    return it;
}

std::string_view messageOf(ClockEventKind kind)
{
    switch (kind) {
    case ClockEventKind::StoodStill:
        return "the VM stood still";
    case ClockEventKind::HeldUp:
        return "the daemon was held up";
    case ClockEventKind::TimeOfDayJumped:
        break;
    }
    return "the time of day jumped";
}

HttpLimits callerLimits(const CallerLimits &limits)
{
    HttpLimits it;
    it.headerBytes = limits.headerBytes;
    it.bodyBytes = limits.bodyBytes;
    it.transferTimeout = limits.headerTimeout + BodyTime;
    it.idleTimeout = limits.idleTimeout;
    return it;
}

} // namespace

Daemon::Daemon(asio::io_context &context, GatewaySettings settings)
    : m_context(context), m_state(context.get_executor(), std::move(settings)),
      m_watch(context, m_state, [this] { noteConfig(); }), m_conductor(context, m_state),
      m_relay(m_state),
      m_link(context.get_executor(),
             [this](const DaemonStatus &status) { m_state.noteStatus(status, BootClock::now()); }),
      m_callers(context, HttpLimits(),
                [this](const HttpRequest &request, HttpResponder &responder) {
                    return m_relay.handle(request, responder);
                }),
      m_readiness(context, systemLimits(),
                  [this](const HttpRequest &request, HttpResponder &responder) {
                      return answerSystem(request, responder);
                  }),
      m_directory(context, systemLimits(),
                  [this](const HttpRequest &request, HttpResponder &responder) {
                      return answerSystem(request, responder);
                  }),
      m_control(context, systemLimits(),
                [this](const HttpRequest &request, HttpResponder &responder) {
                    return answerControl(request, responder);
                })
{
}

Result<Endpoint> Daemon::start()
{
    BOOST_OUTCOME_TRY(const auto callers, m_callers.listen(m_state.settings.callers));
    BOOST_OUTCOME_TRYV(m_readiness.listen(m_state.settings.readiness));
    BOOST_OUTCOME_TRYV(m_directory.listen(m_state.settings.directory));
    BOOST_OUTCOME_TRYV(m_control.listen(m_state.settings.control));
    BOOST_OUTCOME_TRYV(m_link.open(m_state.settings.peers));
    m_watch.start();
    m_conductor.start();
    asio::co_spawn(m_context, sendStatuses(), asio::detached);
    asio::co_spawn(m_context, sendDemand(), asio::detached);
    asio::co_spawn(m_context, watchClocks(), asio::detached);
    log::info("started",
              { { "vm", m_state.settings.vm.value() },
                { "incarnation", m_state.incarnation.value() },
                { "callers", toString(callers) } });
    return callers;
}

void Daemon::noteSettings(const GatewaySettings &settings)
{
    const auto &now = m_state.settings;
    const bool needsRestart = settings.callers != now.callers || settings.peers != now.peers
            || settings.readiness != now.readiness || settings.directory != now.directory
            || settings.vm != now.vm;
    if (needsRestart)
        log::warning("changed addresses or names need a restart", { { "vm", now.vm.value() } });
    m_state.noteSettings(settings);
    m_watch.noteSettings();
    m_conductor.noteSettings();
    log::info("settings in force", { { "store", toString(m_state.settings.store) } });
}

void Daemon::noteConfig()
{
    const auto &config = m_state.index->config();
    m_callers.setLimits(callerLimits(config.limits));
    const auto now = BootClock::now();
    std::erase_if(m_state.rates, [&](const auto &it) {
        const auto *organisation = m_state.index->findOrganisation(it.first);
        return !organisation || !organisation->limit;
    });
    for (const auto &it : config.organisations)
        if (it.limit)
            m_state.rateOf(it, now).setLimit(*it.limit, now);
    m_conductor.noteConfig();
    m_relay.noteConfig();
}

asio::awaitable<void> Daemon::answerSystem(const HttpRequest &request, HttpResponder &responder)
{
    HttpResponse response;
    const auto now = BootClock::now();
    switch (platform::decodeSystemCall(request)) {
    case platform::SystemCall::Readiness:
        response.status = m_state.isReady() ? 200 : 503;
        break;
    case platform::SystemCall::Directions: {
        const auto addresses = m_state.fleet.callerAddresses(m_state.isReady(), now);
        response = platform::encodeDirections(addresses,
                                              std::min(HoldTime, m_state.settings.longestHold));
        break;
    }
    case platform::SystemCall::Other:
        response = errorResponse(makeError(ErrorCode::NotFound, "no such call"), {});
        break;
    }
    (void)co_await responder.send(std::move(response));
}

asio::awaitable<void> Daemon::answerControl(const HttpRequest &request, HttpResponder &responder)
{
    HttpResponse response;
    if (request.path == "/peer/config" && m_state.index)
        response.body = m_state.configText;
    else if (request.path == "/peer/targets")
        response.body = m_watch.entriesForPeers();
    else if (request.path == "/peer/placement")
        response.body = encode(m_state.wholeStatus(BootClock::now()));
    else if (request.path == "/metrics") {
        response.contentType = "text/plain; version=0.0.4";
        response.body = m_state.metrics.exposition();
    } else
        response = errorResponse(makeError(ErrorCode::NotFound, "no such call"), {});
    (void)co_await responder.send(std::move(response));
}

asio::awaitable<void> Daemon::sendStatuses()
{
    for (;;) {
        const auto now = BootClock::now();
        m_state.notePace();
        const auto pace = m_state.fleet.pace();
        const auto holder = m_state.fleet.holderMember(now);
        auto others = m_state.fleet.peers();
        if (holder) {
            std::erase(others, holder->peers);
            m_link.send({ holder->peers }, m_state.status(StatusAudience::Holder, now));
        }
        m_link.send(others, m_state.status(StatusAudience::Others, now));
        co_await sleepFor(pace.gather);
        const bool isHolder = m_state.leadership.isHolder(now);
        co_await m_state.statusDue.wait(isHolder ? pace.holderEvery : pace.every);
        co_await sleepFor(pace.gather);
    }
}

asio::awaitable<void> Daemon::sendDemand()
{
    constexpr Duration Unlimited = std::chrono::hours(1);
    for (;;) {
        co_await m_state.demandDue.wait(Unlimited);
        co_await sleepFor(DemandGather);
        const auto now = BootClock::now();
        if (const auto holder = m_state.fleet.holderMember(now))
            m_link.send({ holder->peers }, m_state.status(StatusAudience::Holder, now));
    }
}

asio::awaitable<void> Daemon::watchClocks()
{
    ClockWatch watch(ClockTick);
    for (;;) {
        for (const auto &it : watch.note(ClockReading::now()))
            log::warning(messageOf(it.kind),
                         { { "ms", std::to_string(toMilliseconds(it.by).count()) } });
        co_await sleepFor(ClockTick);
    }
}

void Daemon::requestStop()
{
    if (m_state.stopRequestedAt) {
        log::warning("stop forced", { { "requests", std::to_string(m_relay.requestCount()) } });
        m_context.stop();
        return;
    }
    m_state.stopRequestedAt = BootClock::now();
    log::info("stop requested", { { "requests", std::to_string(m_relay.requestCount()) } });
    m_state.announce();
    m_callers.announceClosing();
    asio::co_spawn(m_context, stop(), asio::detached);
}

asio::awaitable<void> Daemon::stop()
{
    const auto asked = *m_state.stopRequestedAt;
    const auto end = asked + m_state.settings.stopTime - StopMargin;
    // Callers come back to the address as long as they may hold an answer that names it.
    const auto acceptUntil = std::min(asked + HoldFactor * HoldTime, end - milliseconds(800));
    while (BootClock::now() < acceptUntil)
        co_await sleepFor(StopTick);
    m_callers.stopAccepting();
    while (m_callers.connectionCount() > 0 && BootClock::now() < end)
        co_await sleepFor(StopTick);
    co_await m_conductor.release();
    co_await m_watch.leave();
    m_stoppedGracefully = m_relay.requestCount() == 0;
    log::info("stopped", { { "requests", std::to_string(m_relay.requestCount()) } });
    m_context.stop();
}

} // namespace bluebell::gateway
