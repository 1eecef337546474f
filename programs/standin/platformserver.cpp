#include "standin/platformserver.h"

#include "standin/common.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace asio = boost::asio;
using nlohmann::json;

namespace bluebell::standin {
namespace {

constexpr std::string_view ObjectPrefix = "/v1/objects/";
constexpr HttpLimits Limits { .bodyBytes = 16U << 20U };

json toJson(const Row &row)
{
    return { { "key", row.key }, { "value", row.value }, { "version", row.version } };
}

} // namespace

PlatformServer::PlatformServer(asio::io_context &context, PlatformLimits limits)
    : m_context(context), m_limits(limits),
      m_server(context, Limits, [this](const HttpRequest &request, HttpResponder &responder) {
          return handle(request, responder);
      })
{
}

asio::awaitable<void> PlatformServer::handle(const HttpRequest &request, HttpResponder &responder)
{
    if (pathOf(request.path) == "/control") {
        (void)co_await responder.send(control(request.body));
        co_return;
    }
    const auto faults = m_faults;
    asio::steady_timer timer(m_context);
    if (faults.silent) {
        timer.expires_after(std::chrono::hours(1));
        co_await timer.async_wait(asio::use_awaitable);
    }
    if (faults.delay > Duration::zero()) {
        timer.expires_after(faults.delay);
        co_await timer.async_wait(asio::use_awaitable);
    }
    if (faults.outage) {
        (void)co_await responder.send(errorText(503, "outage"));
        co_return;
    }
    auto response = answer(request);
    const bool isCommit = pathOf(request.path) == "/v1/table/commit" && response.status == 200;
    if (isCommit && m_faults.lostReplies > 0) {
        --m_faults.lostReplies;
        co_return;
    }
    m_usage.bytes += response.body.size() + request.body.size();
    (void)co_await responder.send(std::move(response));
}

bool PlatformServer::takeRate(std::deque<TimePoint> &calls, std::uint32_t limit)
{
    const auto now = BootClock::now();
    while (!calls.empty() && now - calls.front() >= std::chrono::seconds(1))
        calls.pop_front();
    if (calls.size() >= limit) {
        ++m_usage.refused;
        return false;
    }
    calls.push_back(now);
    return true;
}

HttpResponse PlatformServer::answer(const HttpRequest &request)
{
    const auto path = pathOf(request.path);
    const bool isWrite = request.method != "GET";
    ++(isWrite ? m_usage.writes : m_usage.reads);
    const bool mayPass = isWrite ? takeRate(m_writes, m_limits.writesPerSecond)
                                 : takeRate(m_reads, m_limits.readsPerSecond);
    if (!mayPass)
        return errorText(429, "rate");
    if (path == "/v1/table/row")
        return getRow(queryOf(request.path, "key"));
    if (path == "/v1/table/range")
        return getRange(queryOf(request.path, "prefix"), queryOf(request.path, "after"));
    if (path == "/v1/table/commit")
        return commit(request.body);
    if (path == "/v1/vms")
        return vms(request);
    if (path.starts_with(ObjectPrefix))
        return object(request, std::string(path.substr(ObjectPrefix.size())));
    return errorText(404, "no such call");
}

HttpResponse PlatformServer::getRow(const std::string &key) const
{
    const auto it = m_rows.find(key);
    if (it == m_rows.end())
        return errorText(404, "absent");
    return jsonResponse(200, toJson(it->second));
}

HttpResponse PlatformServer::getRange(const std::string &prefix, const std::string &after) const
{
    json found = json::array();
    for (auto it = m_rows.lower_bound(std::max(prefix, after)); it != m_rows.end(); ++it) {
        if (!it->first.starts_with(prefix))
            break;
        if (it->first > after)
            found.push_back(toJson(it->second));
    }
    return jsonResponse(200, { { "rows", std::move(found) } });
}

HttpResponse PlatformServer::commit(const std::string &body)
{
    const auto it = json::parse(body, nullptr, false);
    if (it.is_discarded())
        return errorText(400, "not JSON");
    for (const auto &condition : it.at("conditions")) {
        const auto row = m_rows.find(condition.at("key").get<std::string>());
        const auto version = row == m_rows.end() ? 0 : row->second.version;
        if (version != condition.at("version").get<RowVersion>())
            return errorText(409, "conflict");
    }
    ++m_version;
    for (const auto &mutation : it.at("mutations")) {
        const auto key = mutation.at("key").get<std::string>();
        if (mutation.at("value").is_null())
            m_rows.erase(key);
        else
            m_rows[key] = Row { key, mutation.at("value").get<std::string>(), m_version };
    }
    return jsonResponse(200, { { "version", m_version } });
}

HttpResponse PlatformServer::object(const HttpRequest &request, const std::string &name)
{
    if (request.method == "PUT") {
        m_objects[name] = request.body;
        return jsonResponse(200, json::object());
    }
    const auto it = m_objects.find(name);
    if (it == m_objects.end())
        return errorText(404, "absent");
    HttpResponse response;
    response.body = it->second;
    return response;
}

HttpResponse PlatformServer::vms(const HttpRequest &request)
{
    (void)request;
    json list = json::array();
    for (const auto &[vm, state] : m_vms)
        list.push_back({ { "id", vm.value() },
                         { "state", state == VmState::Leaving ? "leaving" : "live" } });
    return jsonResponse(200, { { "vms", std::move(list) } });
}

HttpResponse PlatformServer::control(const std::string &body)
{
    const auto it = json::parse(body, nullptr, false);
    if (it.is_discarded())
        return errorText(400, "not JSON");
    m_faults.outage = it.value("outage", m_faults.outage);
    m_faults.silent = it.value("silent", m_faults.silent);
    m_faults.lostReplies = it.value("lost_replies", m_faults.lostReplies);
    m_faults.delay =
            std::chrono::milliseconds(it.value("delay_ms", toMilliseconds(m_faults.delay).count()));
    for (const auto &vm : it.value("live_vms", json::array()))
        setVm(VmId(vm.get<std::string>()), VmState::Live);
    for (const auto &vm : it.value("leaving_vms", json::array()))
        setVm(VmId(vm.get<std::string>()), VmState::Leaving);
    for (const auto &vm : it.value("gone_vms", json::array()))
        removeVm(VmId(vm.get<std::string>()));
    return jsonResponse(200,
                        { { "reads", m_usage.reads },
                          { "writes", m_usage.writes },
                          { "refused", m_usage.refused },
                          { "bytes", m_usage.bytes } });
}

} // namespace bluebell::standin
