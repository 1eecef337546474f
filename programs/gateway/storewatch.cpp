#include "gateway/storewatch.h"

#include "core/log.h"
#include "http/client.h"
#include "peer/statuscodec.h"
#include "platform/documents.h"
#include "platform/names.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace asio = boost::asio;

namespace bluebell::gateway {
namespace {

using nlohmann::json;
using platform::StoreRow;
using std::chrono::milliseconds;

const std::string MemberTable = "bluebell-members";

/// Hold time of a feed call in a small fleet. Calls end this often so that a dead connection is
/// detected.
constexpr Duration MinConfigWait = milliseconds(2000);
/// In a large fleet each daemon polls less often, because the others fetch a new configuration from
/// the first daemon that has received it.
constexpr Duration MaxConfigWait = milliseconds(2500);
constexpr std::size_t SmallFleet = 16;
constexpr Duration MaxTargetWait = milliseconds(1500);
constexpr Duration MaxMemberWait = milliseconds(8000);
/// Interval between two calls to the feed of target entries, as a fraction of the drain timeout.
/// Draining targets must be noticed in time, but the entries change with every heartbeat.
constexpr double TargetPollFraction = 0.4;
constexpr Duration MemberPollInterval = milliseconds(100);
constexpr Duration ReadTimeout = milliseconds(1200);
constexpr Duration RetryDelay = milliseconds(200);
/// Interval of the checks for peers with newer data. A newer version normally arrives through the
/// own feed within this time, so that no peer is asked for it.
constexpr Duration PeerCheckInterval = milliseconds(250);
constexpr Duration PeerTimeout = milliseconds(800);
/// Time without a reply of the store after which target entries are fetched from peers.
constexpr Duration StoreOutageThreshold = milliseconds(2600);
constexpr Duration MemberTimeoutCheckInterval = std::chrono::seconds(5);

json toJson(const FleetMember &member)
{
    return { { "incarnation", member.incarnation.value() },
             { "data_centre", member.dataCentre.value() },
             { "callers", toString(member.callers) },
             { "peers", toString(member.peers) },
             { "control", toString(member.control) } };
}

std::optional<FleetMember> decodeMember(const StoreRow &row)
{
    const auto object = json::parse(row.value, nullptr, false);
    if (!object.is_object())
        return std::nullopt;
    const auto stringField = [&](const char *name) {
        const auto it = object.find(name);
        return it != object.end() && it->is_string() ? it->get<std::string>() : std::string();
    };
    const auto callers = parseEndpoint(stringField("callers"));
    const auto peers = parseEndpoint(stringField("peers"));
    const auto control = parseEndpoint(stringField("control"));
    if (!callers || !peers || !control)
        return std::nullopt;
    return FleetMember { VmId(row.key),
                         IncarnationId(stringField("incarnation")),
                         DataCentreId(stringField("data_centre")),
                         callers.value(),
                         peers.value(),
                         control.value() };
}

asio::awaitable<Result<std::string>> fetchFromPeer(Endpoint control, std::string path)
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

StoreWatch::StoreWatch(asio::io_context &context, GatewayState &state,
                       std::function<void()> configChanged)
    : m_context(context), m_state(state), m_store(state.settings.store),
      m_configChanged(std::move(configChanged))
{
}

void StoreWatch::start()
{
    namespace names = platform::names;
    const auto onOperatorRows = [this](const std::vector<StoreRow> &rows, RowVersion) {
        for (const auto &it : rows)
            handleOperatorRow(it);
    };
    const auto onAllEntries = [this](const std::vector<StoreRow> &rows, RowVersion version) {
        replaceAllEntries(rows, version);
    };
    const auto onChangedEntries = [this](const std::vector<StoreRow> &rows, RowVersion version) {
        m_state.registry.noteContact(BootClock::now());
        for (const auto &it : rows)
            if (it.isDeleted) {
                m_state.rawEntries.erase(it.key);
                m_state.registry.remove(it.key, BootClock::now());
            } else {
                updateEntry(it.key, it.value);
            }
        m_state.registryVersion = version;
        if (!rows.empty())
            m_state.stateChanged.notify();
    };
    const auto onAllMembers = [this](const std::vector<StoreRow> &rows, RowVersion) {
        replaceAllMembers(rows);
    };
    const auto onChangedMembers = [this](const std::vector<StoreRow> &rows, RowVersion) {
        for (const auto &it : rows)
            updateMember(it);
    };
    const auto spawn = [this](asio::awaitable<void> work) {
        asio::co_spawn(m_context, std::move(work), asio::detached);
    };
    const auto configTiming = [this] {
        return PollTiming { configMaxWait(), Duration::zero() };
    };
    const auto targetTiming = [this] {
        const auto minInterval = std::chrono::duration_cast<Duration>(m_state.settings.drainTimeout
                                                                      * TargetPollFraction);
        return PollTiming { MaxTargetWait, minInterval };
    };
    const auto memberTiming = [] {
        return PollTiming { MaxMemberWait, MemberPollInterval };
    };
    spawn(followTable(std::string(names::OperatorTable), configTiming, onOperatorRows,
                      onOperatorRows));
    spawn(followTable(std::string(names::ServerTable), targetTiming, onAllEntries,
                      onChangedEntries));
    spawn(followTable(MemberTable, memberTiming, onAllMembers, onChangedMembers));
    spawn(keepRegistered());
    spawn(pollPeers());
    spawn(removeTimedOutMembers());
}

Duration StoreWatch::configMaxWait() const
{
    const auto size = std::max(m_state.fleet.size(), SmallFleet);
    const auto wait = MinConfigWait * static_cast<std::int64_t>(size) / SmallFleet;
    return std::min<Duration>(wait, MaxConfigWait);
}

asio::awaitable<void> StoreWatch::followTable(std::string table,
                                              std::function<PollTiming()> currentTiming,
                                              RowsHandler onSnapshot, RowsHandler onChanges)
{
    std::optional<RowVersion> version;
    bool isDisconnected = false;
    const auto onFailure = [&](const Error &error) {
        if (!isDisconnected)
            log::warning("store lost", { { "table", table }, { "cause", error.message } });
        isDisconnected = true;
    };
    const auto onSuccess = [&] {
        if (isDisconnected)
            log::info("store regained", { { "table", table } });
        isDisconnected = false;
        noteStoreReply();
    };
    for (;;) {
        if (!version) {
            auto snapshot = co_await m_store.read(table, ReadTimeout);
            if (!snapshot) {
                onFailure(snapshot.error());
                co_await sleepFor(RetryDelay);
                continue;
            }
            onSuccess();
            version = snapshot.value().version;
            onSnapshot(snapshot.value().rows, *version);
        }
        const auto timing = currentTiming();
        auto outcome = co_await m_store.changes(table, *version, timing.maxWait);
        if (!outcome) {
            onFailure(outcome.error());
            co_await sleepFor(RetryDelay);
            continue;
        }
        onSuccess();
        if (auto *snapshot = std::get_if<platform::StoreSnapshot>(&outcome.value())) {
            version = std::max(*version, snapshot->version);
            onChanges(snapshot->rows, *version);
        } else {
            log::info("history lost, table read anew", { { "table", table } });
            version.reset();
        }
        if (timing.minInterval > Duration::zero())
            co_await sleepFor(timing.minInterval);
    }
}

void StoreWatch::noteStoreReply()
{
    m_state.storeRepliedAt = BootClock::now();
}

void StoreWatch::handleOperatorRow(const StoreRow &row)
{
    if (row.key == platform::names::ConfigKey && !row.isDeleted)
        updateConfig(row.value);
}

bool StoreWatch::updateConfig(const std::string &text)
{
    auto config = platform::decodeConfig(text);
    if (!config) {
        log::error("configuration refused", { { "cause", config.error().message } });
        return false;
    }
    const auto known = m_state.index ? m_state.index->version() : 0;
    if (config.value().version <= known)
        return false;
    m_state.index = std::make_shared<const SiteIndex>(std::move(config.value()));
    m_state.rawConfig = text;
    log::info("configuration in force",
              { { "version", std::to_string(m_state.index->version()) },
                { "before", std::to_string(known) } });
    m_configChanged();
    m_state.notifyChange();
    return true;
}

void StoreWatch::updateEntry(const std::string &key, const std::string &value)
{
    m_state.rawEntries[key] = value;
    auto entry = platform::decodeTarget(key, value);
    if (!entry)
        log::warning("entry of a target refused",
                     { { "target", key }, { "cause", entry.error().message } });
    std::optional<TargetEntry> accepted;
    if (entry) {
        const auto *before = m_state.registry.find(TargetId(key));
        if (!before || before->isDraining != entry.value().isDraining)
            log::info(entry.value().isDraining ? "target is draining" : "target is ready",
                      { { "target", key }, { "address", toString(entry.value().address) } });
        accepted = std::move(entry.value());
    }
    m_state.registry.put(key, std::move(accepted));
}

void StoreWatch::replaceAllEntries(const std::vector<StoreRow> &rows, RowVersion version)
{
    const auto now = BootClock::now();
    m_state.registry.noteContact(now);
    std::map<std::string, std::optional<TargetEntry>> entries;
    m_state.rawEntries.clear();
    for (const auto &it : rows) {
        m_state.rawEntries[it.key] = it.value;
        auto entry = platform::decodeTarget(it.key, it.value);
        if (entry)
            entries[it.key] = std::move(entry.value());
        else
            entries[it.key] = std::nullopt;
    }
    m_state.registry.replaceAll(entries, now);
    m_state.registryVersion = std::max(m_state.registryVersion, version);
    m_state.stateChanged.notify();
}

void StoreWatch::updateMember(const StoreRow &row)
{
    if (row.key == m_state.settings.vm.value()) {
        const auto member = decodeMember(row);
        m_isRegistered = !row.isDeleted && member && *member == m_state.fleet.self();
        return;
    }
    if (row.isDeleted) {
        m_state.fleet.removeMember(VmId(row.key));
        return;
    }
    if (auto member = decodeMember(row))
        m_state.fleet.putMember(std::move(*member), BootClock::now());
    else
        log::warning("invalid daemon row ignored", { { "vm", row.key } });
}

void StoreWatch::replaceAllMembers(const std::vector<StoreRow> &rows)
{
    std::vector<FleetMember> members;
    m_isRegistered = false;
    for (const auto &it : rows) {
        auto member = decodeMember(it);
        if (!member)
            continue;
        if (it.key == m_state.settings.vm.value())
            m_isRegistered = *member == m_state.fleet.self();
        members.push_back(std::move(*member));
    }
    m_state.fleet.replaceMembers(std::move(members), BootClock::now());
}

asio::awaitable<void> StoreWatch::keepRegistered()
{
    constexpr Duration CheckInterval = milliseconds(300);
    const auto vm = m_state.settings.vm.value();
    const auto value = toJson(m_state.fleet.self()).dump();
    while (!m_isDeregistering) {
        if (!m_isRegistered) {
            const auto done = co_await m_store.put(MemberTable, vm, value, ReadTimeout);
            m_isRegistered = done.has_value();
        }
        co_await sleepFor(CheckInterval);
    }
}

asio::awaitable<void> StoreWatch::deregister()
{
    m_isDeregistering = true;
    const auto vm = m_state.settings.vm.value();
    const auto done = co_await m_store.put(MemberTable, vm, std::nullopt, ReadTimeout);
    if (!done)
        log::warning("failed to remove this daemon's row", { { "cause", done.error().message } });
}

asio::awaitable<void> StoreWatch::removeTimedOutMembers()
{
    for (;;) {
        co_await sleepFor(MemberTimeoutCheckInterval);
        const auto now = BootClock::now();
        if (!m_state.leadership.isLeader(now))
            continue;
        for (const auto &vm : m_state.fleet.timedOutMembers(now)) {
            log::info("removing the row of a dead daemon", { { "vm", vm.value() } });
            const auto done =
                    co_await m_store.put(MemberTable, vm.value(), std::nullopt, ReadTimeout);
            if (!done)
                log::warning("failed to remove the row of a dead daemon",
                             { { "vm", vm.value() }, { "cause", done.error().message } });
        }
    }
}

asio::awaitable<void> StoreWatch::pollPeers()
{
    for (;;) {
        co_await sleepFor(PeerCheckInterval);
        const auto now = BootClock::now();
        if (m_state.registry.expire(now))
            m_state.stateChanged.notify();
        const auto version = m_state.index ? m_state.index->version() : 0;
        if (auto peer = m_state.fleet.peerWithConfig(version, now))
            co_await fetchConfig(std::move(*peer));
        if (auto peer = m_state.fleet.peerWithPlacement(now))
            co_await fetchPlacement(std::move(*peer));
        if (now - m_state.storeRepliedAt < StoreOutageThreshold)
            continue;
        if (auto peer = m_state.fleet.peerWithRegistry(m_state.registryVersion, now))
            co_await fetchEntries(std::move(*peer));
    }
}

asio::awaitable<void> StoreWatch::fetchConfig(FleetMember peer)
{
    const auto text = co_await fetchFromPeer(peer.control, "/peer/config");
    if (!text) {
        log::warning("failed to fetch the configuration from a peer",
                     { { "vm", peer.vm.value() }, { "cause", text.error().message } });
        co_return;
    }
    if (updateConfig(text.value()))
        log::info("configuration taken from a peer", { { "vm", peer.vm.value() } });
}

asio::awaitable<void> StoreWatch::fetchPlacement(FleetMember peer)
{
    const auto text = co_await fetchFromPeer(peer.control, "/peer/placement");
    const auto status = text ? decodeStatus(text.value()) : Result<DaemonStatus>(text.error());
    if (!status) {
        log::warning("failed to fetch the placement from the leader",
                     { { "vm", peer.vm.value() }, { "cause", status.error().message } });
        co_return;
    }
    m_state.fleet.notePlacement(status.value());
    m_state.stateChanged.notify();
}

std::string StoreWatch::encodeEntries() const
{
    json body = { { "version", m_state.registryVersion }, { "entries", json::object() } };
    for (const auto &[key, value] : m_state.rawEntries)
        body["entries"][key] = value;
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

asio::awaitable<void> StoreWatch::fetchEntries(FleetMember peer)
{
    const auto text = co_await fetchFromPeer(peer.control, "/peer/targets");
    if (!text)
        co_return;
    const auto body = json::parse(text.value(), nullptr, false);
    const bool isWellFormed = body.is_object() && body.contains("entries")
            && body.value("version", json()).is_number_unsigned();
    if (!isWellFormed) {
        log::warning("peer returned malformed target entries", { { "vm", peer.vm.value() } });
        co_return;
    }
    const auto version = body["version"].get<RowVersion>();
    if (version <= m_state.registryVersion)
        co_return;
    std::vector<StoreRow> rows;
    for (const auto &[key, value] : body["entries"].items())
        if (value.is_string())
            rows.push_back({ {}, key, value.get<std::string>(), 0, false });
    replaceAllEntries(rows, version);
}

} // namespace bluebell::gateway
