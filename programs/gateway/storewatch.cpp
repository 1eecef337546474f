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

/// A feed is asked again this often, so that a connection that went silent is found out.
constexpr Duration ConfigWait = milliseconds(2000);
/// In a large fleet each daemon asks less often: whoever learns first of a configuration tells all.
constexpr Duration LongestConfigWait = milliseconds(2500);
constexpr std::size_t SmallFleet = 16;
constexpr Duration TargetWait = milliseconds(1500);
constexpr Duration MemberWait = milliseconds(8000);
/// Time between two calls for the targets' entries, as a part of the time in which a draining one
/// must get no more requests; the entries change with every heartbeat.
constexpr double TargetPacePart = 0.4;
constexpr Duration MemberPace = milliseconds(100);
constexpr Duration ReadTimeout = milliseconds(1200);
constexpr Duration PauseAfterFailure = milliseconds(200);
/// How long the own feed may take before a newer version is asked of a peer.
constexpr Duration PeerCheckEvery = milliseconds(250);
constexpr Duration PeerTimeout = milliseconds(800);
/// Silence of the store from which on the targets are asked of peers.
constexpr Duration StoreSilence = milliseconds(2600);
constexpr Duration GoneCheckEvery = std::chrono::seconds(5);

json toJson(const FleetMember &member)
{
    return { { "incarnation", member.incarnation.value() },
             { "data_centre", member.dataCentre.value() },
             { "callers", toString(member.callers) },
             { "peers", toString(member.peers) },
             { "control", toString(member.control) } };
}

std::optional<FleetMember> memberOf(const StoreRow &row)
{
    const auto object = json::parse(row.value, nullptr, false);
    if (!object.is_object())
        return std::nullopt;
    const auto textOf = [&](const char *name) {
        const auto it = object.find(name);
        return it != object.end() && it->is_string() ? it->get<std::string>() : std::string();
    };
    const auto callers = parseEndpoint(textOf("callers"));
    const auto peers = parseEndpoint(textOf("peers"));
    const auto control = parseEndpoint(textOf("control"));
    if (!callers || !peers || !control)
        return std::nullopt;
    return FleetMember { VmId(row.key),
                         IncarnationId(textOf("incarnation")),
                         DataCentreId(textOf("data_centre")),
                         callers.value(),
                         peers.value(),
                         control.value() };
}

asio::awaitable<Result<std::string>> askPeer(Endpoint control, std::string path)
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

StoreWatch::StoreWatch(asio::io_context &context, SiteState &state,
                       std::function<void()> configChanged)
    : m_context(context), m_state(state), m_store(state.settings.store),
      m_configChanged(std::move(configChanged))
{
}

void StoreWatch::start()
{
    namespace names = platform::names;
    const auto operatorRows = [this](const std::vector<StoreRow> &rows, RowVersion) {
        for (const auto &it : rows)
            takeOperatorRow(it);
    };
    const auto allEntries = [this](const std::vector<StoreRow> &rows, RowVersion version) {
        takeEntries(rows, version);
    };
    const auto changedEntries = [this](const std::vector<StoreRow> &rows, RowVersion version) {
        m_state.registry.noteContact(BootClock::now());
        for (const auto &it : rows)
            if (it.isDeleted) {
                m_state.entryTexts.erase(it.key);
                m_state.registry.remove(it.key, BootClock::now());
            } else {
                takeEntry(it.key, it.value);
            }
        m_state.registryVersion = version;
        if (!rows.empty())
            m_state.changed.notify();
    };
    const auto allMembers = [this](const std::vector<StoreRow> &rows, RowVersion) {
        takeMembers(rows);
    };
    const auto changedMembers = [this](const std::vector<StoreRow> &rows, RowVersion) {
        for (const auto &it : rows)
            takeMember(it);
    };
    const auto spawn = [this](asio::awaitable<void> work) {
        asio::co_spawn(m_context, std::move(work), asio::detached);
    };
    const auto configPace = [this] {
        return FeedPace { configWait(), Duration::zero() };
    };
    const auto targetPace = [this] {
        const auto part =
                std::chrono::duration_cast<Duration>(m_state.settings.drainTime * TargetPacePart);
        return FeedPace { TargetWait, part };
    };
    const auto memberPace = [] {
        return FeedPace { MemberWait, MemberPace };
    };
    spawn(follow(std::string(names::OperatorTable), configPace, operatorRows, operatorRows));
    spawn(follow(std::string(names::ServerTable), targetPace, allEntries, changedEntries));
    spawn(follow(MemberTable, memberPace, allMembers, changedMembers));
    spawn(keepRegistered());
    spawn(askPeers());
    spawn(removeGoneMembers());
}

Duration StoreWatch::configWait() const
{
    const auto size = std::max(m_state.fleet.size(), SmallFleet);
    const auto wait = ConfigWait * static_cast<std::int64_t>(size) / SmallFleet;
    return std::min<Duration>(wait, LongestConfigWait);
}

asio::awaitable<void> StoreWatch::follow(std::string table, std::function<FeedPace()> paceNow,
                                         RowsHandler whole, RowsHandler changes)
{
    std::optional<RowVersion> version;
    bool isLost = false;
    const auto noteFailure = [&](const Error &error) {
        if (!isLost)
            log::warning("store lost", { { "table", table }, { "cause", error.message } });
        isLost = true;
    };
    const auto noteSuccess = [&] {
        if (isLost)
            log::info("store regained", { { "table", table } });
        isLost = false;
        noteAnswered();
    };
    for (;;) {
        if (!version) {
            auto snapshot = co_await m_store.read(table, ReadTimeout);
            if (!snapshot) {
                noteFailure(snapshot.error());
                co_await sleepFor(PauseAfterFailure);
                continue;
            }
            noteSuccess();
            version = snapshot.value().version;
            whole(snapshot.value().rows, *version);
        }
        const auto pace = paceNow();
        auto outcome = co_await m_store.changes(table, *version, pace.wait);
        if (!outcome) {
            noteFailure(outcome.error());
            co_await sleepFor(PauseAfterFailure);
            continue;
        }
        noteSuccess();
        if (auto *snapshot = std::get_if<platform::StoreSnapshot>(&outcome.value())) {
            version = std::max(*version, snapshot->version);
            changes(snapshot->rows, *version);
        } else {
            log::info("history lost, table read anew", { { "table", table } });
            version.reset();
        }
        if (pace.between > Duration::zero())
            co_await sleepFor(pace.between);
    }
}

void StoreWatch::noteAnswered()
{
    m_state.storeAnsweredAt = BootClock::now();
}

void StoreWatch::takeOperatorRow(const StoreRow &row)
{
    if (row.key == platform::names::ConfigKey && !row.isDeleted)
        takeConfig(row.value);
}

bool StoreWatch::takeConfig(const std::string &text)
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
    m_state.configText = text;
    log::info("configuration in force",
              { { "version", std::to_string(m_state.index->version()) },
                { "before", std::to_string(known) } });
    m_configChanged();
    m_state.announce();
    return true;
}

void StoreWatch::takeEntry(const std::string &key, const std::string &value)
{
    m_state.entryTexts[key] = value;
    auto entry = platform::decodeTarget(key, value);
    if (!entry)
        log::warning("entry of a target refused",
                     { { "target", key }, { "cause", entry.error().message } });
    std::optional<TargetEntry> taken;
    if (entry) {
        const auto *before = m_state.registry.find(TargetId(key));
        if (!before || before->isDraining != entry.value().isDraining)
            log::info(entry.value().isDraining ? "target is draining" : "target is ready",
                      { { "target", key }, { "address", toString(entry.value().address) } });
        taken = std::move(entry.value());
    }
    m_state.registry.put(key, std::move(taken));
}

void StoreWatch::takeEntries(const std::vector<StoreRow> &rows, RowVersion version)
{
    const auto now = BootClock::now();
    m_state.registry.noteContact(now);
    std::map<std::string, std::optional<TargetEntry>> entries;
    m_state.entryTexts.clear();
    for (const auto &it : rows) {
        m_state.entryTexts[it.key] = it.value;
        auto entry = platform::decodeTarget(it.key, it.value);
        if (entry)
            entries[it.key] = std::move(entry.value());
        else
            entries[it.key] = std::nullopt;
    }
    m_state.registry.replaceAll(entries, now);
    m_state.registryVersion = std::max(m_state.registryVersion, version);
    m_state.changed.notify();
}

void StoreWatch::takeMember(const StoreRow &row)
{
    if (row.key == m_state.settings.vm.value()) {
        const auto member = memberOf(row);
        m_isRegistered = !row.isDeleted && member && *member == m_state.fleet.self();
        return;
    }
    if (row.isDeleted) {
        m_state.fleet.removeMember(VmId(row.key));
        return;
    }
    if (auto member = memberOf(row))
        m_state.fleet.putMember(std::move(*member), BootClock::now());
    else
        log::warning("row of a daemon refused", { { "vm", row.key } });
}

void StoreWatch::takeMembers(const std::vector<StoreRow> &rows)
{
    std::vector<FleetMember> members;
    m_isRegistered = false;
    for (const auto &it : rows) {
        auto member = memberOf(it);
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
    constexpr Duration CheckEvery = milliseconds(300);
    const auto vm = m_state.settings.vm.value();
    const auto value = toJson(m_state.fleet.self()).dump();
    while (!m_isLeaving) {
        if (!m_isRegistered) {
            const auto done = co_await m_store.put(MemberTable, vm, value, ReadTimeout);
            m_isRegistered = done.has_value();
        }
        co_await sleepFor(CheckEvery);
    }
}

asio::awaitable<void> StoreWatch::leave()
{
    m_isLeaving = true;
    const auto vm = m_state.settings.vm.value();
    const auto done = co_await m_store.put(MemberTable, vm, std::nullopt, ReadTimeout);
    if (!done)
        log::warning("own row not removed", { { "cause", done.error().message } });
}

asio::awaitable<void> StoreWatch::removeGoneMembers()
{
    for (;;) {
        co_await sleepFor(GoneCheckEvery);
        const auto now = BootClock::now();
        if (!m_state.leadership.isHolder(now))
            continue;
        for (const auto &vm : m_state.fleet.goneMembers(now)) {
            log::info("daemon is gone", { { "vm", vm.value() } });
            const auto done =
                    co_await m_store.put(MemberTable, vm.value(), std::nullopt, ReadTimeout);
            if (!done)
                log::warning("row of a gone daemon not removed",
                             { { "vm", vm.value() }, { "cause", done.error().message } });
        }
    }
}

asio::awaitable<void> StoreWatch::askPeers()
{
    for (;;) {
        co_await sleepFor(PeerCheckEvery);
        const auto now = BootClock::now();
        if (m_state.registry.expire(now))
            m_state.changed.notify();
        const auto version = m_state.index ? m_state.index->version() : 0;
        if (auto peer = m_state.fleet.peerWithConfig(version, now))
            co_await askForConfig(std::move(*peer));
        if (auto peer = m_state.fleet.peerWithPlacement(now))
            co_await askForPlacement(std::move(*peer));
        if (now - m_state.storeAnsweredAt < StoreSilence)
            continue;
        if (auto peer = m_state.fleet.peerWithRegistry(m_state.registryVersion, now))
            co_await askForEntries(std::move(*peer));
    }
}

asio::awaitable<void> StoreWatch::askForConfig(FleetMember peer)
{
    const auto text = co_await askPeer(peer.control, "/peer/config");
    if (!text) {
        log::warning("configuration not got from a peer",
                     { { "vm", peer.vm.value() }, { "cause", text.error().message } });
        co_return;
    }
    if (takeConfig(text.value()))
        log::info("configuration taken from a peer", { { "vm", peer.vm.value() } });
}

asio::awaitable<void> StoreWatch::askForPlacement(FleetMember peer)
{
    const auto text = co_await askPeer(peer.control, "/peer/placement");
    const auto status = text ? decodeStatus(text.value()) : Result<DaemonStatus>(text.error());
    if (!status) {
        log::warning("placement not got from the holder of the role",
                     { { "vm", peer.vm.value() }, { "cause", status.error().message } });
        co_return;
    }
    m_state.fleet.notePlacement(status.value());
    m_state.changed.notify();
}

std::string StoreWatch::entriesForPeers() const
{
    json body = { { "version", m_state.registryVersion }, { "entries", json::object() } };
    for (const auto &[key, value] : m_state.entryTexts)
        body["entries"][key] = value;
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

asio::awaitable<void> StoreWatch::askForEntries(FleetMember peer)
{
    const auto text = co_await askPeer(peer.control, "/peer/targets");
    if (!text)
        co_return;
    const auto body = json::parse(text.value(), nullptr, false);
    const bool isWellFormed = body.is_object() && body.contains("entries")
            && body.value("version", json()).is_number_unsigned();
    if (!isWellFormed) {
        log::warning("entries of a peer are malformed", { { "vm", peer.vm.value() } });
        co_return;
    }
    const auto version = body["version"].get<RowVersion>();
    if (version <= m_state.registryVersion)
        co_return;
    std::vector<StoreRow> rows;
    for (const auto &[key, value] : body["entries"].items())
        if (value.is_string())
            rows.push_back({ {}, key, value.get<std::string>(), 0, false });
    takeEntries(rows, version);
}

} // namespace bluebell::gateway
