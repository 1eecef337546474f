#include "standin/platformserver.h"

#include "platform/names.h"
#include "standin/common.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace asio = boost::asio;
using nlohmann::json;

namespace bluebell::standin {
namespace {

using platform::FollowRows;
using platform::GetObject;
using platform::PutObject;
using platform::ReadRows;
using platform::StoreCall;
using platform::StoreSnapshot;
using platform::Transact;

const HttpLimits Limits { .bodyBytes = 16U << 20U };

HttpResponse okResponse(std::string body)
{
    HttpResponse response;
    response.body = std::move(body);
    return response;
}

/// \returns whether only operators and targets write the table
bool isRewritten(const std::string &table)
{
    return table == platform::names::OperatorTable || table == platform::names::ServerTable
            || table == VmTable;
}

} // namespace

PlatformServer::PlatformServer(asio::io_context &context, PlatformLimits limits)
    : m_context(context), m_limits(limits), m_changed(context.get_executor()),
      m_server(context, Limits, [this](const HttpRequest &request, HttpResponder &responder) {
          return handle(request, responder);
      })
{
}

void PlatformServer::put(const std::string &table, const std::string &key, std::string value)
{
    setRow({ table, key }, { std::move(value), ++m_version, false });
    m_changed.notify();
}

void PlatformServer::remove(const std::string &table, const std::string &key)
{
    setRow({ table, key }, { {}, ++m_version, true });
    m_changed.notify();
}

void PlatformServer::setRow(const RowId &id, Row row)
{
    const auto now = BootClock::now();
    const auto known = m_rows.find(id);
    const auto before = known == m_rows.end() ? std::nullopt : std::optional(known->second);
    m_history.push_back({ now, id, before, row.version - 1 });
    while (m_history.size() > MaxHistory || now - m_history.front().at > MaxHistoryAge)
        m_history.pop_front();
    m_rows[id] = std::move(row);
    m_lost.erase(id);
}

void PlatformServer::rollback(Duration age, Duration rewriteDelay)
{
    const auto restoredAt = BootClock::now() - age;
    // The changes of one transaction have the same version before them.
    const auto isLost = [&](const Change &it) {
        return it.at >= restoredAt || it.versionBefore == m_version;
    };
    while (!m_history.empty() && isLost(m_history.back())) {
        auto change = std::move(m_history.back());
        m_history.pop_back();
        auto &row = m_rows[change.id];
        if (isRewritten(change.id.first))
            m_lost.try_emplace(change.id, row);
        if (change.before)
            row = std::move(*change.before);
        else
            m_rows.erase(change.id);
        m_version = change.versionBefore;
    }
    m_era = era() + 1;
    m_changed.notify();
    asio::co_spawn(m_context, writeAgain(rewriteDelay), asio::detached);
}

asio::awaitable<void> PlatformServer::writeAgain(Duration delay)
{
    const auto era = m_era;
    co_await sleepFor(delay);
    if (m_era != era)
        co_return;
    for (auto &[id, row] : std::exchange(m_lost, {}))
        setRow(id, { std::move(row.value), ++m_version, row.isDeleted });
    m_changed.notify();
}

void PlatformServer::setVm(const VmId &vm, VmState state)
{
    put(std::string(VmTable), vm.value(),
        state == VmState::Leaving ? std::string(LeavingVm) : std::string("live"));
}

void PlatformServer::compact()
{
    std::erase_if(m_rows, [](const auto &it) { return it.second.isDeleted; });
    m_oldestResumableVersion = ++m_version;
    m_history.clear();
    m_changed.notify();
}

std::string PlatformServer::value(const std::string &table, const std::string &key) const
{
    const auto it = m_rows.find({ table, key });
    return it == m_rows.end() ? std::string() : it->second.value;
}

asio::awaitable<void> PlatformServer::handle(const HttpRequest &request, HttpResponder &responder)
{
    if (pathWithoutQuery(request.path) == "/control") {
        (void)co_await responder.send(control(request.body));
        co_return;
    }
    if (m_faults.silent)
        co_await sleepFor(std::chrono::hours(1));
    if (m_faults.delay > Duration::zero())
        co_await sleepFor(m_faults.delay);
    const auto call = platform::decodeCall(request);
    if (!call) {
        (void)co_await responder.send(jsonErrorResponse(400, call.error().message));
        co_return;
    }
    const auto losses = m_faults.connectionLosses;
    if (const auto *follow = std::get_if<FollowRows>(&call.value()))
        co_await awaitChange(*follow);
    if (m_faults.connectionLosses != losses)
        co_await sleepFor(std::chrono::hours(1));
    auto response = answer(request, call.value());
    const bool isCommitted =
            std::holds_alternative<Transact>(call.value()) && response.status == 200;
    if (isCommitted && m_faults.lostReplies > 0) {
        --m_faults.lostReplies;
        co_return;
    }
    m_usage.bytes += response.body.size() + request.body.size();
    if (m_era)
        response.headers.push_back(
                { std::string(platform::names::StoreEra), std::to_string(*m_era) });
    (void)co_await responder.send(std::move(response));
}

HttpResponse PlatformServer::answer(const HttpRequest &request, const StoreCall &call)
{
    if (m_faults.outage)
        return jsonErrorResponse(503, "outage");
    if (!admitCall(request.method != "GET"))
        return jsonErrorResponse(429, "rate");
    return dispatch(call);
}

asio::awaitable<void> PlatformServer::awaitChange(const FollowRows &call)
{
    const auto end = BootClock::now() + call.wait;
    while (!m_faults.outage && hasHistoryAfter(call.after)
           && changesAfter(call.table, call.after).rows.empty() && BootClock::now() < end)
        co_await m_changed.wait(std::max<Duration>(end - BootClock::now(), Duration(1)));
}

bool PlatformServer::admitCall(bool isWrite)
{
    auto &calls = isWrite ? m_recentWrites : m_recentReads;
    ++(isWrite ? m_usage.writes : m_usage.reads);
    const auto now = BootClock::now();
    while (!calls.empty() && now - calls.front() >= std::chrono::seconds(1))
        calls.pop_front();
    if (calls.size() >= (isWrite ? m_limits.writesPerSecond : m_limits.readsPerSecond)) {
        ++m_usage.refused;
        return false;
    }
    calls.push_back(now);
    return true;
}

HttpResponse PlatformServer::dispatch(const StoreCall &call)
{
    return std::visit([this](const auto &it) { return execute(it); }, call);
}

HttpResponse PlatformServer::execute(const ReadRows &call) const
{
    StoreSnapshot snapshot;
    snapshot.version = m_version;
    for (auto it = m_rows.lower_bound({ call.table, call.from });
         it != m_rows.end() && it->first.first == call.table; ++it) {
        const auto &[id, row] = *it;
        if (!call.to.empty() && id.second >= call.to)
            break;
        if (row.isDeleted)
            continue;
        if (snapshot.rows.size() == call.limit) {
            snapshot.hasMore = true;
            break;
        }
        snapshot.rows.push_back({ id.first, id.second, row.value, row.version, false });
    }
    return okResponse(encodeSnapshot(snapshot));
}

StoreSnapshot PlatformServer::changesAfter(const std::string &table, RowVersion after) const
{
    StoreSnapshot snapshot;
    snapshot.version = m_version;
    for (const auto &[id, row] : m_rows)
        if (id.first == table && row.version > after)
            snapshot.rows.push_back({ id.first, id.second, row.value, row.version, row.isDeleted });
    std::sort(snapshot.rows.begin(), snapshot.rows.end(),
              [](const auto &a, const auto &b) { return a.version < b.version; });
    return snapshot;
}

HttpResponse PlatformServer::execute(const FollowRows &call) const
{
    if (!hasHistoryAfter(call.after))
        return jsonErrorResponse(410, "the history is not kept any more");
    return okResponse(encodeSnapshot(changesAfter(call.table, call.after)));
}

RowVersion PlatformServer::versionOf(const RowId &id) const
{
    const auto it = m_rows.find(id);
    return it == m_rows.end() || it->second.isDeleted ? 0 : it->second.version;
}

HttpResponse PlatformServer::execute(const Transact &call)
{
    for (const auto &it : call.conditions)
        if (versionOf({ it.table, it.key }) != it.version)
            return jsonErrorResponse(412, "a condition does not hold");
    ++m_version;
    for (const auto &it : call.changes)
        setRow({ it.table, it.key }, { it.value.value_or(""), m_version, !it.value });
    m_changed.notify();
    return okResponse(platform::encodeWritten(m_version));
}

HttpResponse PlatformServer::execute(const PutObject &call)
{
    m_objects[call.name] = call.value;
    return okResponse("{}");
}

HttpResponse PlatformServer::execute(const GetObject &call) const
{
    const auto it = m_objects.find(call.name);
    return it == m_objects.end() ? jsonErrorResponse(404, "absent") : okResponse(it->second);
}

HttpResponse PlatformServer::control(const std::string &body)
{
    const auto it = json::parse(body, nullptr, false);
    if (it.is_discarded())
        return jsonErrorResponse(400, "not JSON");
    m_faults.outage = it.value("outage", m_faults.outage);
    m_faults.silent = it.value("silent", m_faults.silent);
    m_faults.connectionLosses = it.value("connection_losses", m_faults.connectionLosses);
    m_faults.lostReplies = it.value("lost_replies", m_faults.lostReplies);
    m_faults.delay =
            std::chrono::milliseconds(it.value("delay_ms", toMilliseconds(m_faults.delay).count()));
    if (it.contains("era"))
        setEra(it["era"].get<StoreEra>());
    if (it.contains("rollback_ms"))
        rollback(std::chrono::milliseconds(it["rollback_ms"].get<std::int64_t>()));
    for (const auto &vm : it.value("live_vms", json::array()))
        setVm(VmId(vm.get<std::string>()), VmState::Live);
    for (const auto &vm : it.value("leaving_vms", json::array()))
        setVm(VmId(vm.get<std::string>()), VmState::Leaving);
    for (const auto &vm : it.value("gone_vms", json::array()))
        remove(std::string(VmTable), vm.get<std::string>());
    return jsonResponse(200,
                        { { "reads", m_usage.reads },
                          { "writes", m_usage.writes },
                          { "refused", m_usage.refused },
                          { "bytes", m_usage.bytes },
                          { "era", era() } });
}

} // namespace bluebell::standin
