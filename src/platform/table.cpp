#include "platform/table.h"

#include "http/client.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace asio = boost::asio;
using nlohmann::json;

namespace bluebell {
namespace {

constexpr Duration RetryPause = std::chrono::milliseconds(100);

std::string urlEncoded(std::string_view text)
{
    constexpr std::string_view Digits = "0123456789ABCDEF";
    std::string it;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.') {
            it.push_back(c);
            continue;
        }
        it.push_back('%');
        it.push_back(Digits[byte >> 4U]);
        it.push_back(Digits[byte & 15U]);
    }
    return it;
}

Error unexpected(std::string_view what, Execution execution)
{
    return Error { ErrorCode::Unavailable, "the platform answered with " + std::string(what),
                   execution, std::nullopt };
}

Result<json> parseBody(const HttpResponse &response)
{
    auto body = json::parse(response.body, nullptr, false);
    if (body.is_discarded() || !body.is_object())
        return unexpected("something that is not JSON", Execution::OutcomeUnknown);
    return body;
}

/// \returns the JSON of a response with status 200
///
/// \param execution stands in the error of any other status
Result<json> successBody(const Result<HttpResponse> &response, Execution execution)
{
    if (!response)
        return response.error();
    const auto status = response.value().status;
    if (status != 200)
        return unexpected("status " + std::to_string(status), execution);
    return parseBody(response.value());
}

/// Runs `read` on JSON from outside; a missing or ill-typed field becomes an error.
template<typename T, typename Read>
Result<T> readJson(const json &body, Read read)
{
    try {
        return read(body);
    } catch (const json::exception &e) {
        return unexpected(e.what(), Execution::OutcomeUnknown);
    }
}

Row toRow(const json &it)
{
    return { it.at("key").get<std::string>(), it.at("value").get<std::string>(),
             it.at("version").get<RowVersion>() };
}

json toJson(const Transaction &it)
{
    json body = { { "change", it.change.value() },
                  { "conditions", json::array() },
                  { "mutations", json::array() } };
    for (const auto &[key, version] : it.conditions)
        body["conditions"].push_back({ { "key", key }, { "version", version } });
    for (const auto &[key, value] : it.mutations) {
        json mutation = { { "key", key }, { "value", nullptr } };
        if (value)
            mutation["value"] = *value;
        body["mutations"].push_back(std::move(mutation));
    }
    return body;
}

RowVersion conditionOf(const Transaction &it, const std::string &key)
{
    for (const auto &condition : it.conditions)
        if (condition.key == key)
            return condition.version;
    return 0;
}

} // namespace

asio::awaitable<Result<std::optional<Row>>> PlatformClient::get(std::string key)
{
    HttpCall call { m_endpoint,
                    { "GET", "/v1/table/row?key=" + urlEncoded(key), {}, {} },
                    m_timeout };
    const auto response = co_await exchange(std::move(call));
    if (response && response.value().status == 404)
        co_return std::optional<Row>();
    const auto body = successBody(response, Execution::NotRun);
    if (!body)
        co_return body.error();
    co_return readJson<std::optional<Row>>(body.value(),
                                           [](const json &it) { return std::optional(toRow(it)); });
}

asio::awaitable<Result<std::vector<Row>>> PlatformClient::range(std::string prefix,
                                                                std::string after)
{
    const auto path =
            "/v1/table/range?prefix=" + urlEncoded(prefix) + "&after=" + urlEncoded(after);
    HttpCall call { m_endpoint, { "GET", path, {}, {} }, m_timeout };
    const auto response = co_await exchange(std::move(call));
    const auto body = successBody(response, Execution::NotRun);
    if (!body)
        co_return body.error();
    co_return readJson<std::vector<Row>>(body.value(), [](const json &it) {
        std::vector<Row> rows;
        for (const auto &row : it.at("rows"))
            rows.push_back(toRow(row));
        return rows;
    });
}

asio::awaitable<Result<CommitOutcome>> PlatformClient::commitOnce(Transaction it)
{
    HttpCall call { m_endpoint, { "POST", "/v1/table/commit", {}, toJson(it).dump() }, m_timeout };
    const auto response = co_await exchange(std::move(call));
    if (response && response.value().status == 409)
        co_return CommitOutcome(Conflicted {});
    const auto body = successBody(response, Execution::OutcomeUnknown);
    if (!body)
        co_return body.error();
    co_return readJson<CommitOutcome>(body.value(), [](const json &answer) {
        return CommitOutcome(Committed { answer.at("version").get<RowVersion>() });
    });
}

asio::awaitable<Result<CommitOutcome>> PlatformClient::commit(Transaction it, TimePoint deadline)
{
    const auto key = it.mutations.front().key;
    const bool writesValue = it.mutations.front().value.has_value();
    asio::steady_timer timer(co_await asio::this_coro::executor);
    bool maybeCommitted = false;
    for (;;) {
        auto outcome = co_await commitOnce(it);
        const bool isSettled =
                outcome && (std::holds_alternative<Committed>(outcome.value()) || !maybeCommitted);
        if (isSettled)
            co_return outcome;
        maybeCommitted = maybeCommitted
                || (!outcome && outcome.error().execution == Execution::OutcomeUnknown);
        const auto row = co_await get(key);
        if (row && row.value() && row.value()->value.find(it.change.value()) != std::string::npos)
            co_return CommitOutcome(Committed { row.value()->version });
        if (row && !writesValue && !row.value())
            co_return CommitOutcome(Committed { 0 });
        if (row) {
            const auto version = row.value() ? row.value()->version : 0;
            if (version != conditionOf(it, key) || outcome)
                co_return CommitOutcome(Conflicted {});
        }
        if (BootClock::now() >= deadline)
            co_return Error { ErrorCode::Unavailable, "the platform did not answer in time",
                              maybeCommitted ? Execution::OutcomeUnknown : Execution::NotRun,
                              std::nullopt };
        timer.expires_after(RetryPause);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<Result<void>> PlatformClient::putObject(std::string name, std::string value)
{
    HttpCall call { m_endpoint,
                    { "PUT", "/v1/objects/" + urlEncoded(name), {}, std::move(value) },
                    m_timeout };
    auto response = co_await exchange(std::move(call));
    if (!response)
        co_return response.error();
    if (response.value().status != 200)
        co_return unexpected("status " + std::to_string(response.value().status),
                             Execution::OutcomeUnknown);
    co_return BOOST_OUTCOME_V2_NAMESPACE::success();
}

asio::awaitable<Result<std::string>> PlatformClient::getObject(std::string name)
{
    HttpCall call { m_endpoint, { "GET", "/v1/objects/" + urlEncoded(name), {}, {} }, m_timeout };
    auto response = co_await exchange(std::move(call));
    if (!response)
        co_return response.error();
    if (response.value().status == 404)
        co_return makeError(ErrorCode::NotFound, "there is no object '" + name + "'");
    if (response.value().status != 200)
        co_return unexpected("status " + std::to_string(response.value().status),
                             Execution::NotRun);
    co_return std::move(response.value().body);
}

asio::awaitable<Result<std::vector<ListedVm>>> PlatformClient::listVms()
{
    HttpCall call { m_endpoint, { "GET", "/v1/vms", {}, {} }, m_timeout };
    const auto response = co_await exchange(std::move(call));
    const auto body = successBody(response, Execution::NotRun);
    if (!body)
        co_return body.error();
    co_return readJson<std::vector<ListedVm>>(body.value(), [](const json &it) {
        std::vector<ListedVm> vms;
        for (const auto &vm : it.at("vms"))
            vms.push_back({ VmId(vm.at("id").get<std::string>()),
                            vm.at("state") == "leaving" ? VmState::Leaving : VmState::Live });
        return vms;
    });
}

} // namespace bluebell
