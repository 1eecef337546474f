#include "gateway/daemon.h"

#include "core/clockwatch.h"
#include "core/log.h"
#include "gateway/connectionlimits.h"
#include "io/background.h"
#include "peer/statuscodec.h"
#include "platform/requests.h"
#include "routing/calleraddresses.h"

#include <algorithm>
#include <utility>

namespace asio = boost::asio;

namespace bluebell::gateway {
namespace {

using std::chrono::milliseconds;

/// Time for which callers may cache an address lookup.
constexpr Duration AddressTtl = milliseconds(1000);
/// Some callers cache a lookup for this multiple of its time to live.
constexpr int AddressTtlFactor = 3;
/// Time reserved before the kill of the process for releasing the lease and removing the row.
constexpr Duration StopMargin = milliseconds(400);
constexpr Duration StopPollInterval = milliseconds(50);
/// Time before that in which requests that have not ended are answered with an error.
constexpr Duration ErrorResponseTime = milliseconds(200);
/// Requests that start to wait within this time are reported to the leader in one message.
constexpr Duration DemandBatchDelay = milliseconds(4);
/// Interval between two readings of the clocks.
constexpr Duration ClockCheckInterval = milliseconds(500);
/// Time for reading the body of a request, in addition to the header timeout.
constexpr Duration BodyTimeout = std::chrono::seconds(10);

/// \returns the limits until a configuration is known
HttpLimits initialLimits(const GatewayState &state)
{
    HttpLimits it;
    it.connections = connectionLimits(state.settings.maxDescriptors).callers;
    it.memory = state.requestMemory;
    return it;
}

HttpLimits systemLimits(const GatewayState &state)
{
    HttpLimits it;
    it.bodyBytes = 64U << 10U;
    it.connections = connectionLimits(state.settings.maxDescriptors).system;
    it.memory = state.requestMemory;
    return it;
}

std::string_view messageOf(ClockEventKind kind)
{
    switch (kind) {
    case ClockEventKind::VmSuspended:
        return "the VM stood still";
    case ClockEventKind::DaemonStalled:
        return "the daemon was held up";
    case ClockEventKind::TimeOfDayJumped:
        break;
    }
    return "the time of day jumped";
}

HttpLimits callerLimits(const CallerLimits &limits, const GatewayState &state)
{
    auto it = initialLimits(state);
    it.headerBytes = limits.headerBytes;
    it.bodyBytes = limits.bodyBytes;
    it.transferTimeout = limits.headerTimeout + BodyTimeout;
    it.idleTimeout = limits.idleTimeout;
    return it;
}

} // namespace

Daemon::Daemon(asio::io_context &context, GatewaySettings settings)
    : m_context(context), m_state(context.get_executor(), std::move(settings)),
      m_updates(m_state, [this] { applyConfig(); }), m_quarantine(context, m_state),
      m_storeWatch(context, m_state, m_updates, m_quarantine),
      m_peerSync(context, m_state, m_updates), m_relayService(context, m_state, m_updates),
      m_coordinator(context, m_state), m_proxy(context.get_executor(), m_state),
      m_link(context.get_executor(),
             [this](const DaemonStatus &status) { m_state.noteStatus(status, BootClock::now()); }),
      m_callerServer(context, initialLimits(m_state),
                     [this](const HttpRequest &request, HttpResponder &responder) {
                         return m_proxy.handle(request, responder);
                     }),
      m_readinessServer(context, systemLimits(m_state),
                        [this](const HttpRequest &request, HttpResponder &responder) {
                            return handleSystemRequest(request, responder);
                        }),
      m_directoryServer(context, systemLimits(m_state),
                        [this](const HttpRequest &request, HttpResponder &responder) {
                            return handleSystemRequest(request, responder);
                        }),
      m_controlServer(context, systemLimits(m_state),
                      [this](const HttpRequest &request, HttpResponder &responder) {
                          return handleControlRequest(request, responder);
                      })
{
    for (auto *server :
         { &m_callerServer, &m_readinessServer, &m_directoryServer, &m_controlServer })
        server->setRefusalObserver([this](std::string_view reason) {
            m_state.metrics.count("bluebell_requests_not_read_total",
                                  { {}, {}, std::string(reason) });
        });
}

Result<Endpoint> Daemon::start()
{
    BOOST_OUTCOME_TRY(const auto callers, m_callerServer.listen(m_state.settings.callers));
    BOOST_OUTCOME_TRYV(m_readinessServer.listen(m_state.settings.readiness));
    BOOST_OUTCOME_TRYV(m_directoryServer.listen(m_state.settings.directory));
    BOOST_OUTCOME_TRYV(m_controlServer.listen(m_state.settings.control));
    BOOST_OUTCOME_TRYV(m_link.open(m_state.settings.peers));
    BOOST_OUTCOME_TRYV(m_relayService.start());
    m_storeWatch.start();
    m_peerSync.start();
    m_coordinator.start();
    m_quarantine.start();
    spawnLoop(m_context.get_executor(), "send statuses", [this] { return sendStatuses(); });
    spawnLoop(m_context.get_executor(), "send demand", [this] { return sendDemand(); });
    spawnLoop(m_context.get_executor(), "watch clocks", [this] { return watchClocks(); });
    log::info("started",
              { { "vm", m_state.settings.vm.value() },
                { "incarnation", m_state.incarnation.value() },
                { "callers", toString(callers) } });
    return callers;
}

void Daemon::applySettings(const GatewaySettings &settings)
{
    const auto &current = m_state.settings;
    const bool needsRestart = settings.callers != current.callers || settings.peers != current.peers
            || settings.readiness != current.readiness || settings.directory != current.directory
            || settings.vm != current.vm;
    if (needsRestart)
        log::warning("changed addresses or VM name take effect after a restart",
                     { { "vm", current.vm.value() } });
    m_state.applySettings(settings);
    m_storeWatch.applySettings();
    m_coordinator.applySettings();
    m_quarantine.applySettings();
    log::info("settings in force", { { "store", toString(m_state.settings.store) } });
}

void Daemon::applyConfig()
{
    const auto &config = m_state.index->config();
    m_state.requestMemory->setLimit(
            requestMemoryLimit(m_state.settings.memoryLimit, config.limits));
    m_callerServer.setLimits(callerLimits(config.limits, m_state));
    const auto now = BootClock::now();
    std::erase_if(m_state.rates, [&](const auto &it) {
        const auto *organisation = m_state.index->findOrganisation(it.first);
        return !organisation || !organisation->limit;
    });
    for (const auto &it : config.organisations)
        if (it.limit)
            m_state.rateOf(it, now).setLimit(*it.limit, now);
    std::map<ServiceId, double> coldRates;
    for (const auto &[name, service] : config.services)
        coldRates.emplace(name, service.coldRate);
    m_state.selector.coldLimits().setRates(std::move(coldRates));
    m_coordinator.applyConfig();
    m_proxy.applyConfig();
}

asio::awaitable<void> Daemon::handleSystemRequest(const HttpRequest &request,
                                                  HttpResponder &responder)
{
    HttpResponse response;
    const auto now = BootClock::now();
    switch (platform::decodeSystemCall(request)) {
    case platform::SystemCall::Readiness:
        response.status = m_state.isReady() ? 200 : 503;
        break;
    case platform::SystemCall::AddressLookup: {
        const auto addresses =
                chooseCallerAddresses(m_state.fleet.callerDaemons(m_state.isReady(), now),
                                      platform::callersDataCentre(request), m_random);
        response = platform::encodeAddresses(addresses,
                                             std::min(AddressTtl, m_state.settings.maxAddressTtl));
        break;
    }
    case platform::SystemCall::Other:
        response = errorResponse(makeError(ErrorCode::NotFound, "no such call"), {});
        break;
    }
    (void)co_await responder.send(std::move(response));
}

asio::awaitable<void> Daemon::handleControlRequest(const HttpRequest &request,
                                                   HttpResponder &responder)
{
    HttpResponse response;
    if (request.path == "/peer/config" && m_state.index)
        response.body = m_state.rawConfig;
    else if (request.path == "/peer/targets")
        response.body = m_updates.encodeEntries();
    else if (request.path == "/peer/digest")
        response.body = encode(m_relayService.fullDigest(BootClock::now()));
    else if (request.path == "/peer/placement")
        response.body = encode(m_state.fullStatus(BootClock::now()));
    else if (request.path == "/metrics") {
        response.contentType = "text/plain; version=0.0.4";
        m_state.metrics.setGauge("bluebell_task_failures", static_cast<double>(taskFailures()));
        m_state.metrics.setGauge("bluebell_response_bytes_peak",
                                 static_cast<double>(m_state.responseMemory->peak()));
        m_state.metrics.setGauge("bluebell_request_bytes_held",
                                 static_cast<double>(m_state.requestMemory->held()));
        m_state.metrics.setGauge("bluebell_request_bytes_peak",
                                 static_cast<double>(m_state.requestMemory->peak()));
        m_state.metrics.setGauge("bluebell_request_bytes_limit",
                                 static_cast<double>(m_state.requestMemory->limit()));
        response.body = m_state.metrics.exposition();
    } else
        response = errorResponse(makeError(ErrorCode::NotFound, "no such call"), {});
    (void)co_await responder.send(std::move(response));
}

std::vector<Endpoint> Daemon::statusRecipients(bool isLeader, TimePoint now) const
{
    auto recipients = m_state.fleet.directPeers();
    if (!isLeader || !m_state.fleet.usesRelays())
        return recipients;
    for (const auto &vm : m_state.relayNode.otherRelays(now))
        if (const auto *relay = m_state.fleet.find(vm))
            recipients.push_back(relay->peers);
    return recipients;
}

asio::awaitable<void> Daemon::sendStatuses()
{
    for (;;) {
        const auto now = BootClock::now();
        m_state.applyStatusTiming();
        const auto timing = m_state.fleet.statusTiming();
        const auto leader = m_state.fleet.leaderMember(now);
        const bool isLeader = m_state.leadership.isLeader(now);
        auto others = statusRecipients(isLeader, now);
        if (leader) {
            std::erase(others, leader->peers);
            m_link.send({ leader->peers }, m_state.status(StatusRecipient::Leader, now));
        }
        if (!others.empty())
            m_link.send(others, m_state.status(StatusRecipient::Others, now));
        co_await sleepFor(timing.batchDelay);
        co_await m_state.statusDue.wait(isLeader ? timing.leaderInterval : timing.interval);
        co_await sleepFor(timing.batchDelay);
    }
}

asio::awaitable<void> Daemon::sendDemand()
{
    constexpr Duration Unlimited = std::chrono::hours(1);
    for (;;) {
        co_await m_state.demandDue.wait(Unlimited);
        co_await sleepFor(DemandBatchDelay);
        const auto now = BootClock::now();
        if (const auto leader = m_state.fleet.leaderMember(now))
            m_link.send({ leader->peers }, m_state.status(StatusRecipient::Leader, now));
    }
}

asio::awaitable<void> Daemon::watchClocks()
{
    ClockWatch watch(ClockCheckInterval);
    for (;;) {
        for (const auto &it : watch.note(ClockReading::now()))
            log::warning(messageOf(it.kind),
                         { { "ms", std::to_string(toMilliseconds(it.amount).count()) } });
        co_await sleepFor(ClockCheckInterval);
    }
}

void Daemon::requestStop()
{
    if (m_state.stopRequestedAt) {
        log::warning("stop forced", { { "requests", std::to_string(m_proxy.requestCount()) } });
        m_context.stop();
        return;
    }
    m_state.stopRequestedAt = BootClock::now();
    log::info("stop requested", { { "requests", std::to_string(m_proxy.requestCount()) } });
    m_state.notifyChange();
    m_state.notifyRelays();
    m_callerServer.disableKeepAlive();
    spawnLoop(m_context.get_executor(), "stop", [this] { return stop(); });
}

asio::awaitable<void> Daemon::stop()
{
    const auto requestedAt = *m_state.stopRequestedAt;
    const auto end = requestedAt + m_state.settings.stopTimeout - StopMargin;
    // Callers keep connecting while they have a cached lookup that lists this address.
    const auto acceptUntil =
            std::min(requestedAt + AddressTtlFactor * AddressTtl, end - milliseconds(800));
    while (BootClock::now() < acceptUntil)
        co_await sleepFor(StopPollInterval);
    m_callerServer.stopAccepting();
    while (m_callerServer.connectionCount() > 0 && BootClock::now() < end) {
        if (end - BootClock::now() <= ErrorResponseTime)
            m_proxy.endAll();
        co_await sleepFor(StopPollInterval);
    }
    co_await m_coordinator.release();
    co_await m_storeWatch.deregister();
    m_stoppedGracefully = m_proxy.requestCount() == 0;
    log::info("stopped", { { "requests", std::to_string(m_proxy.requestCount()) } });
    m_context.stop();
}

} // namespace bluebell::gateway
