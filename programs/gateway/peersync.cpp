#include "gateway/peersync.h"

#include "core/log.h"
#include "http/client.h"
#include "io/background.h"
#include "peer/relaycodec.h"
#include "peer/statuscodec.h"
#include "platform/fields.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace asio = boost::asio;

namespace bluebell::gateway {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/// Interval of the checks for peers with newer data. In a small fleet, a newer version normally
/// arrives through the own feed within this time, so that no peer is asked for it.
constexpr Duration CheckInterval = milliseconds(250);
constexpr Duration PeerTimeout = milliseconds(800);
/// Time without a reply of the store after which target entries are fetched from peers.
constexpr Duration StoreOutageThreshold = milliseconds(2600);
/// The same for a relay, on which others depend.
constexpr Duration RelayOutageThreshold = milliseconds(1500);

asio::awaitable<Result<std::string>> fetch(Endpoint control, std::string path)
{
    HttpCall call;
    call.endpoint = std::move(control);
    call.request.method = "GET";
    call.request.path = std::move(path);
    call.timeout = PeerTimeout;
    call.connectTimeout = PeerTimeout;
    auto response = co_await exchange(std::move(call));
    if (!response)
        co_return response.error();
    if (response.value().status != 200)
        co_return makeError(ErrorCode::Unavailable,
                            "peer answered " + std::to_string(response.value().status));
    co_return std::move(response.value().body);
}

} // namespace

void PeerSync::start()
{
    spawnLoop(m_context.get_executor(), "fetch from peers", [this] { return run(); });
}

asio::awaitable<void> PeerSync::run()
{
    for (;;) {
        co_await m_state.peerDataDue.wait(CheckInterval);
        const auto now = BootClock::now();
        m_state.expireEvacuations(now);
        m_updates.expireMembers(now);
        if (m_state.registry.expire(now))
            m_state.stateChanged.notify();
        const auto version = m_state.index ? m_state.index->version() : 0;
        if (auto peer = m_state.fleet.peerWithConfig(version, now))
            co_await fetchConfig(std::move(*peer));
        const bool isReader = m_state.isReader(now);
        if (!isReader && m_state.isBehindRelay)
            if (auto relay = nextRelay())
                co_await fetchDigest(std::move(*relay));
        if (isReader)
            if (auto peer = m_state.fleet.peerWithPlacement(now))
                co_await fetchPlacement(std::move(*peer));
        const auto threshold =
                m_state.fleet.usesRelays() ? RelayOutageThreshold : StoreOutageThreshold;
        if (!isReader || now - m_state.targetsReadAt < threshold)
            continue;
        if (auto peer = m_state.fleet.peerWithRegistry(m_state.registryVersion, now))
            co_await fetchEntries(std::move(*peer));
    }
}

std::optional<FleetMember> PeerSync::nextRelay()
{
    const auto &relays = m_state.relayNode.relays();
    for (std::size_t n = 0; n < relays.size(); ++n) {
        const auto &vm = relays[m_nextRelay++ % relays.size()];
        if (const auto *member = m_state.fleet.find(vm))
            return *member;
    }
    return std::nullopt;
}

asio::awaitable<void> PeerSync::fetchConfig(FleetMember peer)
{
    const auto text = co_await fetch(peer.control, "/peer/config");
    if (!text) {
        log::warning("failed to fetch the configuration from a peer",
                     { { "vm", peer.vm.value() }, { "cause", text.error().message } });
        co_return;
    }
    if (m_updates.updateConfig(text.value()))
        log::info("configuration taken from a peer", { { "vm", peer.vm.value() } });
}

asio::awaitable<void> PeerSync::fetchPlacement(FleetMember peer)
{
    const auto text = co_await fetch(peer.control, "/peer/placement");
    const auto status = text ? decodeStatus(text.value()) : Result<DaemonStatus>(text.error());
    if (!status) {
        log::warning("failed to fetch the placement from the leader",
                     { { "vm", peer.vm.value() }, { "cause", status.error().message } });
        co_return;
    }
    const auto &it = status.value();
    if (it.leaderEpoch > 0)
        m_state.fleet.notePlacement(it.incarnation, it.leaderEpoch, it.placement);
    m_state.stateChanged.notify();
    m_state.digestDue.notify();
}

asio::awaitable<void> PeerSync::fetchDigest(FleetMember peer)
{
    const auto body = co_await fetch(peer.control, "/peer/digest");
    const auto digest = body ? decodeDigest(body.value()) : Result<FleetDigest>(body.error());
    if (!digest) {
        log::warning("failed to fetch the tables from a relay",
                     { { "vm", peer.vm.value() }, { "cause", digest.error().message } });
        co_return;
    }
    m_updates.applyDigest(digest.value(), BootClock::now());
    log::info("tables taken from a relay",
              { { "vm", peer.vm.value() },
                { "targets", std::to_string(digest.value().targets.rows.size()) },
                { "daemons", std::to_string(digest.value().members.rows.size()) } });
}

asio::awaitable<void> PeerSync::fetchEntries(FleetMember peer)
{
    const auto text = co_await fetch(peer.control, "/peer/targets");
    if (!text) {
        log::warning("failed to fetch target entries from a peer",
                     { { "vm", peer.vm.value() }, { "cause", text.error().message } });
        co_return;
    }
    const auto body = json::parse(text.value(), nullptr, false);
    const auto version = body.is_object() ? platform::unsignedField(body, "version") : std::nullopt;
    const auto entries = body.find("entries");
    if (!version || entries == body.end() || !entries->is_object()) {
        log::warning("peer returned malformed target entries", { { "vm", peer.vm.value() } });
        co_return;
    }
    if (*version <= m_state.registryVersion)
        co_return;
    std::vector<platform::StoreRow> rows;
    for (const auto &[key, value] : entries->items())
        if (value.is_string())
            rows.push_back({ {}, key, value.get<std::string>(), 0, false });
    m_updates.replaceTargets(rows, *version);
}

} // namespace bluebell::gateway
