#include "standin/serviceserver.h"

#include "standin/common.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace asio = boost::asio;
using nlohmann::json;

namespace bluebell::standin {

ServiceServer::ServiceServer(asio::io_context &context)
    : m_context(context), m_server(context, HttpLimits {},
                                   [this](const HttpRequest &request, HttpResponder &responder) {
                                       return handle(request, responder);
                                   })
{
}

asio::awaitable<void> ServiceServer::handle(const HttpRequest &request, HttpResponder &responder)
{
    if (pathWithoutQuery(request.path) == "/control") {
        (void)co_await responder.send(control(request.body));
        co_return;
    }
    m_sawCallerKey = m_sawCallerKey || !request.header("Authorization").empty();
    if (m_faults.refusals > 0) {
        --m_faults.refusals;
        auto response = jsonErrorResponse(503, "busy");
        response.headers.push_back({ "Execution", "not_run" });
        (void)co_await responder.send(std::move(response));
        co_return;
    }
    HttpResponse response;
    if (request.method == "GET") {
        ++m_lookups;
        response = jsonResponse(200, { { "path", request.path }, { "in_stock", 3 } });
    } else {
        const auto key = std::string(request.header("Idempotency-Key"));
        const auto runs = ++m_orders[key];
        response = jsonResponse(201, { { "order", key }, { "run", runs } });
    }
    if (m_faults.delay > Duration::zero()) {
        asio::steady_timer timer(m_context);
        timer.expires_after(m_faults.delay);
        co_await timer.async_wait(asio::use_awaitable);
    }
    if (m_faults.failures > 0) {
        --m_faults.failures;
        response = jsonErrorResponse(m_faults.failureStatus, "the database answered too late");
    }
    if (m_faults.lostReplies > 0) {
        --m_faults.lostReplies;
        co_return;
    }
    (void)co_await responder.send(std::move(response));
}

HttpResponse ServiceServer::control(const std::string &body)
{
    const auto it = json::parse(body, nullptr, false);
    if (it.is_discarded())
        return jsonErrorResponse(400, "not JSON");
    m_faults.delay =
            std::chrono::milliseconds(it.value("delay_ms", toMilliseconds(m_faults.delay).count()));
    m_faults.lostReplies = it.value("lost_replies", m_faults.lostReplies);
    m_faults.refusals = it.value("refusals", m_faults.refusals);
    m_faults.failures = it.value("failures", m_faults.failures);
    m_faults.failureStatus = it.value("failure_status", m_faults.failureStatus);
    return jsonResponse(200,
                        { { "orders", m_orders },
                          { "lookups", m_lookups },
                          { "saw_caller_key", m_sawCallerKey } });
}

} // namespace bluebell::standin
