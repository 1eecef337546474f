#include "entry/filters.h"

#include "core/digest.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace asio = boost::asio;
using nlohmann::json;

namespace bluebell::entry {
namespace {

constexpr std::string_view BearerPrefix = "Bearer ";
/// `max_tokens` of a request that does not set it.
constexpr Tokens DefaultMaxTokens = 128;
/// Largest `max_tokens` that a request may set.
constexpr Tokens MaxTokens = 8192;
/// Bytes of a prompt that are estimated as one token.
constexpr std::size_t BytesPerToken = 4;

Error invalid(std::string message)
{
    return makeError(ErrorCode::InvalidArgument, std::move(message));
}

Result<std::string> readPrompt(const json &body)
{
    if (!body.contains("messages") || !body["messages"].is_array() || body["messages"].empty())
        return invalid("'messages' must be a list with at least one message");
    std::string prompt;
    for (const auto &message : body["messages"]) {
        const bool isMessage = message.is_object() && message.contains("content")
                && message["content"].is_string();
        if (!isMessage)
            return invalid("every message must have a text 'content'");
        prompt +=
                message.value("role", "user") + ": " + message["content"].get<std::string>() + '\n';
    }
    return prompt;
}

Result<Tokens> readMaxTokens(const json &body)
{
    if (!body.contains("max_tokens"))
        return DefaultMaxTokens;
    const auto &it = body["max_tokens"];
    const auto tokens = it.is_number_integer() ? it.get<Tokens>() : 0;
    if (tokens < 1 || tokens > MaxTokens)
        return invalid("'max_tokens' must be a whole number from 1 to "
                       + std::to_string(MaxTokens));
    return tokens;
}

asio::awaitable<Result<void>> authenticateCaller(const ConfigView &config, RequestContext &context)
{
    const auto now = BootClock::now();
    const auto &replica = config.replica();
    if (context.route != nullptr && context.route->allowsAnonymous && context.key.isEmpty()) {
        if (const auto state = replica.state(now);
            state == ServingState::NoConfig || state == ServingState::Stale)
            co_return makeError(ErrorCode::Unavailable, std::string(describe(state)));
        co_return BOOST_OUTCOME_V2_NAMESPACE::success();
    }
    if (context.key.isEmpty())
        co_return makeError(ErrorCode::Unauthenticated,
                            "the request has no 'Authorization: Bearer KEY' header");
    const auto organisation = replica.authenticate(context.key, now);
    if (!organisation)
        co_return organisation.error();
    context.organisation = organisation.value();
    const auto rules = replica.rules();
    const auto &rule = rules->organisations.at(context.organisation);
    context.classRule = rules->classes.at(rule.classId);
    context.deadline = context.arrival + context.classRule.timeout;
    co_return BOOST_OUTCOME_V2_NAMESPACE::success();
}

asio::awaitable<Result<void>> authorise(const ConfigView &config, RequestContext &context)
{
    if (!context.chat)
        co_return BOOST_OUTCOME_V2_NAMESPACE::success();
    const auto &[model, adapter] = context.chat->replica;
    const auto rules = config.replica().rules();
    const bool exists = rules->models.contains(model)
            && (adapter.isEmpty()
                || (rules->adapters.contains(adapter)
                    && rules->adapters.at(adapter).model == model));
    if (!exists || !rules->mayCall(context.organisation, model, adapter))
        co_return makeError(ErrorCode::NotFound,
                            "there is no model '" + toString(context.chat->replica)
                                    + "' that this key may call");
    co_return BOOST_OUTCOME_V2_NAMESPACE::success();
}

asio::awaitable<Result<void>> reserveRate(RateLimiter &rateLimiter, RequestContext &context)
{
    if (context.organisation.isEmpty())
        co_return BOOST_OUTCOME_V2_NAMESPACE::success();
    co_return co_await rateLimiter.admit(context);
}

} // namespace

asio::awaitable<Result<void>> runFilters(const std::vector<Filter> &filters,
                                         RequestContext &context)
{
    for (const auto &filter : filters)
        if (auto passed = co_await filter(context); !passed)
            co_return passed;
    co_return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Filter makeAuthenticationFilter(const ConfigView &config)
{
    return [&config](RequestContext &context) {
        return authenticateCaller(config, context);
    };
}

Filter makeAuthorisationFilter(const ConfigView &config)
{
    return [&config](RequestContext &context) {
        return authorise(config, context);
    };
}

Filter makeRateFilter(RateLimiter &rateLimiter)
{
    return [&rateLimiter](RequestContext &context) {
        return reserveRate(rateLimiter, context);
    };
}

Result<ChatRequest> parseChat(const std::string &body)
{
    const auto it = json::parse(body, nullptr, false);
    if (it.is_discarded() || !it.is_object())
        return invalid("the body is not a JSON object");
    if (!it.contains("model") || !it["model"].is_string())
        return invalid("'model' must be a text such as MODEL or MODEL:ADAPTER");
    if (it.contains("stream") && !it["stream"].is_boolean())
        return invalid("'stream' must be true or false");
    ChatRequest chat;
    chat.replica = parseReplicaKey(it["model"].get<std::string>());
    BOOST_OUTCOME_TRY(chat.prompt, readPrompt(it));
    BOOST_OUTCOME_TRY(chat.maxTokens, readMaxTokens(it));
    chat.promptTokens =
            static_cast<Tokens>((chat.prompt.size() + BytesPerToken - 1) / BytesPerToken);
    chat.isStreaming = it.value("stream", false);
    return chat;
}

KeyDigest bearerKeyDigest(const HttpRequest &request)
{
    const auto header = request.header("Authorization");
    if (!header.starts_with(BearerPrefix) || header.size() == BearerPrefix.size())
        return {};
    return digestOfKey(header.substr(BearerPrefix.size()));
}

} // namespace bluebell::entry
