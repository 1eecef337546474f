#include "entry/daemon.h"

#include "core/digest.h"
#include "core/log.h"
#include "io/notifier.h"
#include "platform/recordstore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

#include <utility>

namespace asio = boost::asio;
using nlohmann::json;

namespace bluebell::entry {
namespace {

/// Random bytes of a request id and of this process's prefix for grant ids.
constexpr std::size_t IdBytes = 8;
/// Maximum number of entry addresses in a response to `/v1/entries`.
constexpr std::size_t MaxListedEntries = 2;
constexpr Duration DrainPollInterval = std::chrono::milliseconds(50);
/// Time limit of a request while its organisation, and so its class, is not known.
constexpr Duration DefaultTimeout = std::chrono::seconds(10);
/// Tokens that a call to a plain service takes from the organisation's rate.
constexpr Tokens ServiceCallTokens = 1;

std::string_view pathWithoutQuery(const HttpRequest &request)
{
    return std::string_view(request.path).substr(0, request.path.find('?'));
}

/// Counts a request as active for the lifetime of the object.
class ActiveRequestGuard
{
public:
    explicit ActiveRequestGuard(std::size_t &count) noexcept : m_count(count) { ++m_count; }
    ~ActiveRequestGuard() { --m_count; }
    ActiveRequestGuard(const ActiveRequestGuard &) = delete;
    ActiveRequestGuard &operator=(const ActiveRequestGuard &) = delete;

private:
    std::size_t &m_count;
};

json entryToJson(const EntryAddress &it)
{
    return { { "vm", it.vm.value() }, { "address", toString(it.address) } };
}

} // namespace

Daemon::Daemon(asio::io_context &context, DaemonSettings settings)
    : m_context(context), m_settings(std::move(settings)), m_peers(context.get_executor(), {}),
      m_server(context, m_settings.http,
               [this](const HttpRequest &request, HttpResponder &responder) {
                   return handle(request, responder);
               }),
      m_drain(m_settings.drain)
{
}

Result<Endpoint> Daemon::start()
{
    BOOST_OUTCOME_TRY(auto address, m_server.listen(m_settings.listen));
    m_config.emplace(m_peers, m_settings.controllers,
                     EntryAddress { m_settings.vm, address, false }, m_settings.config);
    m_rateLimiter.emplace(m_peers, *m_config, m_settings.vm.value() + '/' + randomHex(IdBytes));
    m_dispatcher.emplace(m_context.get_executor(), m_peers, *m_config, m_metrics, m_settings.vm);
    m_chat.emplace(*m_config, *m_dispatcher, *m_rateLimiter, m_metrics);
    m_service.emplace(*m_config, RecordTable(platform::makeRecordStore(m_settings.platform)),
                      *m_rateLimiter, m_metrics);
    m_filters = { makeAuthenticationFilter(*m_config), makeAuthorisationFilter(*m_config),
                  makeRateFilter(*m_rateLimiter) };
    asio::co_spawn(m_context, m_config->run(), asio::detached);
    asio::co_spawn(m_context, m_rateLimiter->run(), asio::detached);
    asio::co_spawn(m_context, m_dispatcher->run(), asio::detached);
    return address;
}

RequestContext Daemon::makeContext(const HttpRequest &request)
{
    RequestContext context;
    context.id = RequestId(randomHex(IdBytes));
    context.arrival = BootClock::now();
    context.deadline = context.arrival + DefaultTimeout;
    context.key = bearerKeyDigest(request);
    return context;
}

asio::awaitable<void> Daemon::handle(const HttpRequest &request, HttpResponder &responder)
{
    const ActiveRequestGuard guard(m_activeRequests);
    const auto path = pathWithoutQuery(request);
    HttpResponse response;
    if (path == "/v1/chat/completions") {
        co_await handleChat(request, responder);
        co_return;
    }
    if (path == "/healthz")
        response.body = R"({"status":"ok"})";
    else if (path == "/readyz")
        response = readiness();
    else if (path == "/metrics") {
        response.contentType = "text/plain; version=0.0.4";
        response.body = m_metrics.exposition();
    } else if (path == "/v1/models")
        response = listModels(request);
    else if (path == "/v1/entries")
        response = listEntries(request);
    else {
        auto context = makeContext(request);
        co_await handleService(request, responder, context);
        co_return;
    }
    (void)co_await responder.send(std::move(response));
}

asio::awaitable<void> Daemon::refuse(const RequestContext &context, const Error &error,
                                     HttpResponder &responder)
{
    m_metrics.count(
            "bluebell_requests_total",
            { context.organisation, context.classRule.id, std::string(toString(error.code)) });
    (void)co_await responder.send(errorResponse(error, context.id.value()));
}

asio::awaitable<void> Daemon::handleChat(const HttpRequest &request, HttpResponder &responder)
{
    auto context = makeContext(request);
    if (request.method != "POST") {
        co_await refuse(context, makeError(ErrorCode::InvalidArgument, "use POST"), responder);
        co_return;
    }
    auto parsed = parseChat(request.body);
    if (!parsed) {
        co_await refuse(context, parsed.error(), responder);
        co_return;
    }
    context.chat = std::move(parsed.value());
    context.tokens = context.chat->promptTokens + context.chat->maxTokens;
    if (auto passed = co_await runFilters(m_filters, context); !passed) {
        co_await refuse(context, passed.error(), responder);
        co_return;
    }
    co_await m_chat->serve(context, responder);
}

asio::awaitable<void> Daemon::handleService(const HttpRequest &request, HttpResponder &responder,
                                            RequestContext &context)
{
    const auto rules = m_config->replica().rules();
    context.rules = rules;
    context.route = rules->routeOfPath(request.path);
    context.tokens = ServiceCallTokens;
    if (context.route == nullptr) {
        const auto state = m_config->replica().state(BootClock::now());
        auto error = makeError(ErrorCode::NotFound, "there is no such path");
        if (state == ServingState::NoConfig)
            error = makeError(ErrorCode::Unavailable, std::string(describe(state)));
        co_await refuse(context, error, responder);
        co_return;
    }
    if (auto passed = co_await runFilters(m_filters, context); !passed) {
        co_await refuse(context, passed.error(), responder);
        co_return;
    }
    co_await m_service->serve(context, request, responder);
}

HttpResponse Daemon::listModels(const HttpRequest &request) const
{
    const auto organisation =
            m_config->replica().authenticate(bearerKeyDigest(request), BootClock::now());
    if (!organisation)
        return errorResponse(organisation.error(), {});
    const auto rules = m_config->replica().rules();
    json list = json::array();
    const auto add = [&list](const std::string &name) {
        list.push_back({ { "id", name }, { "object", "model" } });
    };
    for (const auto &[model, rule] : rules->models)
        if (rules->mayCall(organisation.value(), model, AdapterId()))
            add(model.value());
    for (const auto &[adapter, rule] : rules->adapters)
        if (rules->mayCall(organisation.value(), rule.model, adapter))
            add(toString(ReplicaKey { rule.model, adapter }));
    HttpResponse response;
    response.body = json { { "object", "list" }, { "data", std::move(list) } }.dump();
    return response;
}

HttpResponse Daemon::listEntries(const HttpRequest &request) const
{
    std::string organisation;
    if (const auto key = bearerKeyDigest(request); !key.isEmpty())
        if (const auto known = m_config->replica().authenticate(key, BootClock::now()))
            organisation = known.value().value();
    const auto selection = selectEntries(organisation, m_config->entries(), MaxListedEntries,
                                         m_settings.drain.holdTime / 2);
    json list = json::array();
    for (const auto &it : selection.entries)
        list.push_back(entryToJson(it));
    HttpResponse response;
    response.body = json {
        { "entries", std::move(list) }, { "hold_ms", toMilliseconds(selection.maxAge).count() }
    }.dump();
    return response;
}

HttpResponse Daemon::readiness() const
{
    const auto state = m_config->replica().state(BootClock::now());
    const bool isServing = state == ServingState::Fresh || state == ServingState::MajorityReachable;
    const bool isReady = isServing && m_drain.phase() == DrainPhase::Serving;
    HttpResponse response;
    response.status = isReady ? 200 : 503;
    response.body = json {
        { "ready", isReady },
        { "version", m_config->replica().version() },
        { "reason", describe(state) }
    }.dump();
    return response;
}

void Daemon::requestStop()
{
    const bool isFirst = m_drain.phase() == DrainPhase::Serving;
    m_drain.requestStop(BootClock::now());
    if (!isFirst) {
        log::error("second stop request: stopping with requests in progress",
                   { { "requests", std::to_string(m_activeRequests) } });
        m_context.stop();
        return;
    }
    log::info("leaving");
    m_config->announceLeaving();
    asio::co_spawn(m_context, drain(), asio::detached);
}

asio::awaitable<void> Daemon::drain()
{
    for (;;) {
        const auto phase = m_drain.advance(m_activeRequests, BootClock::now());
        if (phase == DrainPhase::Finishing)
            m_server.stopAccepting();
        if (phase == DrainPhase::Done || phase == DrainPhase::Forced)
            break;
        co_await sleepFor(DrainPollInterval);
    }
    if (m_drain.phase() == DrainPhase::Forced)
        log::error("drain deadline exceeded: stopping with requests in progress",
                   { { "requests", std::to_string(m_activeRequests) } });
    co_await m_rateLimiter->flush();
    log::info("left");
    m_context.stop();
}

} // namespace bluebell::entry
