#include "target/targetclient.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace asio = boost::asio;
using nlohmann::json;

namespace bluebell {
namespace {

constexpr std::string_view ExecutionHeader = "Execution";
constexpr std::string_view NotRunValue = "not_run";
constexpr std::string_view EventPrefix = "data: ";
constexpr std::string_view EventTerminator = "\n\n";
constexpr std::size_t MaxEventBytes = 64U << 10U;
/// Maximum size of a response to a call that is no caller's request.
constexpr std::uint64_t MaxControlBytes = 1U << 20U;
constexpr Duration CancelTimeout = std::chrono::seconds(1);
constexpr Duration ConnectTimeout = std::chrono::seconds(5);

std::string dump(const json &it)
{
    return it.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// Builds a call outside of the co_await expression: GCC 12 destroys aggregates that are created
/// inside one twice.
HttpCall makeCall(Endpoint target, std::string method, std::string path, std::string body,
                  Duration timeout)
{
    HttpCall call { std::move(target),
                    { std::move(method), std::move(path), {}, std::move(body) },
                    timeout };
    call.bodyLimit = MaxControlBytes;
    return call;
}

Error statusError(unsigned status, std::string_view execution)
{
    const bool isNotRun = execution == NotRunValue;
    return Error { ErrorCode::Unavailable,
                   "the target answered with status " + std::to_string(status),
                   isNotRun ? Execution::NotRun : Execution::OutcomeUnknown, std::nullopt };
}

Error malformedError(std::string_view what)
{
    return Error { ErrorCode::Unavailable,
                   "the target sent something malformed: " + std::string(what),
                   Execution::OutcomeUnknown, std::nullopt };
}

StreamEvent toEvent(const json &it)
{
    const RequestId request(it.at("request_id").get<std::string>());
    const auto attempt = it.at("attempt").get<AttemptId>();
    if (it.contains("end"))
        return StreamEnd { request, attempt, it.at("end").get<StreamOffset>(),
                           it.at("reason").get<std::string>() };
    return StreamToken { request, attempt, it.at("offset").get<StreamOffset>(),
                         it.at("token").get<std::string>() };
}

Result<StreamEvent> parseEvent(std::string_view text)
{
    if (!text.starts_with(EventPrefix))
        return malformedError("an event without data");
    const auto body = json::parse(text.substr(EventPrefix.size()), nullptr, false);
    if (body.is_discarded())
        return malformedError("an event that is not JSON");
    try {
        return toEvent(body);
    } catch (const json::exception &e) {
        return malformedError(e.what());
    }
}

ReplicaState toReplicaState(const std::string &text)
{
    if (text == "resident")
        return ReplicaState::Resident;
    return text == "unloading" ? ReplicaState::Unloading : ReplicaState::Loading;
}

CacheTier toTier(const std::string &text)
{
    if (text == "memory")
        return CacheTier::Memory;
    return text == "disk" ? CacheTier::Disk : CacheTier::Remote;
}

TargetReport toReport(const json &it)
{
    TargetReport report;
    report.incarnation = IncarnationId(it.at("incarnation").get<std::string>());
    report.sequence = it.at("sequence").get<std::uint64_t>();
    report.isLeaving = it.at("leaving").get<bool>();
    report.memory = it.at("memory").get<Bytes>();
    report.running = it.at("running").get<std::uint32_t>();
    report.waiting = it.at("waiting").get<std::uint32_t>();
    for (const auto &item : it.at("replicas"))
        report.replicas.push_back({ parseReplicaKey(item.at("replica").get<std::string>()),
                                    toReplicaState(item.at("state").get<std::string>()),
                                    item.at("bytes").get<Bytes>(),
                                    IntentId(item.at("intent").get<std::string>()),
                                    item.at("running").get<std::uint32_t>() });
    for (const auto &[model, tier] : it.at("tiers").items())
        report.tiers.emplace(ModelId(model), toTier(tier.get<std::string>()));
    for (const auto &intent : it.at("refused"))
        report.refused.emplace_back(intent.get<std::string>());
    return report;
}

} // namespace

asio::awaitable<Result<StreamEvent>> GenerateStream::next(TimePoint deadline,
                                                          std::optional<SilencePolicy> silence)
{
    for (;;) {
        if (const auto end = m_buffer.find(EventTerminator); end != std::string::npos) {
            auto event = parseEvent(std::string_view(m_buffer).substr(0, end));
            m_buffer.erase(0, end + EventTerminator.size());
            co_return event;
        }
        if (m_buffer.size() > MaxEventBytes)
            co_return malformedError("an event that does not end");
        auto chunk = co_await m_stream.read(deadline, silence);
        if (!chunk)
            co_return chunk.error();
        if (!chunk.value())
            co_return Error { ErrorCode::Truncated,
                              "the target closed the stream without an end marker",
                              Execution::OutcomeUnknown, std::nullopt };
        m_buffer += *chunk.value();
    }
}

asio::awaitable<Result<GenerateStream>> startGeneration(Endpoint target, GenerateCall call,
                                                        Duration timeout,
                                                        std::optional<SilencePolicy> silence)
{
    const json body = { { "request_id", call.request.value() },
                        { "attempt", call.attempt },
                        { "model", call.replica.model.value() },
                        { "adapter", call.replica.adapter.value() },
                        { "prompt", call.prompt },
                        { "max_tokens", call.maxTokens },
                        { "offset", call.offset },
                        { "priority", call.priority } };
    auto request = makeCall(std::move(target), "POST", "/v1/generate", dump(body), timeout);
    request.connectTimeout = ConnectTimeout;
    request.silence = std::move(silence);
    auto stream = co_await openStream(std::move(request));
    if (!stream)
        co_return stream.error();
    if (stream.value().status() != 200)
        co_return statusError(stream.value().status(), stream.value().header(ExecutionHeader));
    co_return GenerateStream(std::move(stream.value()));
}

asio::awaitable<void> cancelGeneration(Endpoint target, RequestId request)
{
    const json body = { { "request_id", request.value() } };
    auto call = makeCall(std::move(target), "POST", "/v1/cancel", dump(body), CancelTimeout);
    (void)co_await exchange(std::move(call));
}

asio::awaitable<Result<TargetReport>> fetchReport(Endpoint target, Duration timeout)
{
    auto call = makeCall(std::move(target), "GET", "/v1/report", {}, timeout);
    auto response = co_await exchange(std::move(call));
    if (!response)
        co_return response.error();
    const auto body = json::parse(response.value().body, nullptr, false);
    if (body.is_discarded())
        co_return malformedError("a report that is not JSON");
    try {
        co_return toReport(body);
    } catch (const json::exception &e) {
        co_return malformedError(e.what());
    }
}

asio::awaitable<Result<void>> sendOrder(Endpoint target, TargetOrder order, Duration timeout)
{
    const auto &entry = order.entry;
    const json body = { { "intent", entry.intent.value() },
                        { "action", entry.action == IntentAction::Load ? "load" : "unload" },
                        { "replica", toString(order.key) },
                        { "bytes", entry.bytes },
                        { "epoch", entry.epoch },
                        { "incarnation", entry.incarnation.value() } };
    auto call = makeCall(std::move(target), "POST", "/v1/orders", dump(body), timeout);
    auto response = co_await exchange(std::move(call));
    if (!response)
        co_return response.error();
    if (response.value().status == 409)
        co_return makeError(ErrorCode::Conflict, "the target knows a newer fencing number");
    if (response.value().status != 200)
        co_return statusError(response.value().status, {});
    co_return BOOST_OUTCOME_V2_NAMESPACE::success();
}

asio::awaitable<Result<HttpResponse>> callService(Endpoint target, HttpRequest request,
                                                  Duration timeout,
                                                  std::shared_ptr<MemoryBudget> memory)
{
    HttpCall call { std::move(target), std::move(request), timeout };
    call.memory = std::move(memory);
    auto response = co_await exchange(std::move(call));
    if (!response)
        co_return response.error();
    if (response.value().header(ExecutionHeader) == NotRunValue)
        co_return statusError(response.value().status, NotRunValue);
    co_return response;
}

} // namespace bluebell
