#include "records/table.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace asio = boost::asio;

namespace bluebell {
namespace {

const std::string Table = "bluebell-records";
constexpr Duration RetryDelay = std::chrono::milliseconds(100);

/// \returns the exclusive upper bound of the keys that begin with `prefix`
std::string prefixEnd(std::string prefix)
{
    if (!prefix.empty())
        ++prefix.back();
    return prefix;
}

/// \returns the version that the conditions of `it` require of `key`; 0 for none
RowVersion expectedVersion(const Transaction &it, const std::string &key)
{
    for (const auto &condition : it.conditions)
        if (condition.key == key)
            return condition.version;
    return 0;
}

/// \returns whether no condition of `it` is of another era of the store
bool isOfEra(const Transaction &it, StoreEra era)
{
    return std::all_of(it.conditions.begin(), it.conditions.end(), [&](const auto &condition) {
        return condition.version == 0 || eraOf(condition.version) == era;
    });
}

/// Marks the error of a read as not executed, because a read changes nothing.
Error toReadError(Error error)
{
    error.execution = Execution::NotRun;
    return error;
}

} // namespace

asio::awaitable<Result<std::optional<Row>>> RecordTable::get(std::string key)
{
    auto found = co_await m_store->read(Table, m_timeout, key, key + '\x01');
    if (!found)
        co_return toReadError(std::move(found.error()));
    if (found.value().empty())
        co_return std::optional<Row>();
    co_return std::optional<Row>(std::move(found.value().front()));
}

asio::awaitable<Result<std::vector<Row>>> RecordTable::range(std::string prefix, std::string after)
{
    const auto from = after.empty() ? prefix : after + '\x01';
    auto found = co_await m_store->read(Table, m_timeout, from, prefixEnd(prefix));
    if (!found)
        co_return toReadError(std::move(found.error()));
    co_return found;
}

asio::awaitable<Result<CommitOutcome>> RecordTable::commitOnce(Transaction it)
{
    co_return co_await m_store->write(Table, std::move(it), m_timeout);
}

asio::awaitable<Result<CommitOutcome>> RecordTable::commit(Transaction it, TimePoint deadline)
{
    const auto key = it.mutations.front().key;
    const bool writesValue = it.mutations.front().value.has_value();
    asio::steady_timer timer(co_await asio::this_coro::executor);
    bool maybeCommitted = false;
    for (;;) {
        auto outcome = co_await commitOnce(it);
        const bool isConclusive =
                outcome && (std::holds_alternative<Committed>(outcome.value()) || !maybeCommitted);
        if (isConclusive)
            co_return outcome;
        maybeCommitted = maybeCommitted
                || (!outcome && outcome.error().execution == Execution::OutcomeUnknown);
        const auto row = co_await get(key);
        const bool isWritten = row && row.value()
                && row.value()->value.find(it.change.value()) != std::string::npos;
        if (isWritten && !isOfEra(it, eraOf(row.value()->version)))
            co_return Error { ErrorCode::Unavailable,
                              "the platform has come back from an older copy",
                              Execution::OutcomeUnknown, std::nullopt };
        if (isWritten)
            co_return CommitOutcome(Committed { row.value()->version });
        if (row && !writesValue && !row.value())
            co_return CommitOutcome(Committed { 0 });
        if (row) {
            const auto version = row.value() ? row.value()->version : 0;
            if (version != expectedVersion(it, key) || outcome)
                co_return CommitOutcome(Conflicted {});
        }
        if (BootClock::now() >= deadline)
            co_return Error { ErrorCode::Unavailable, "the platform did not answer in time",
                              maybeCommitted ? Execution::OutcomeUnknown : Execution::NotRun,
                              std::nullopt };
        timer.expires_after(RetryDelay);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<Result<void>> RecordTable::putObject(std::string name, std::string value)
{
    co_return co_await m_store->putObject(std::move(name), std::move(value), m_timeout);
}

asio::awaitable<Result<std::string>> RecordTable::getObject(std::string name)
{
    co_return co_await m_store->getObject(std::move(name), m_timeout);
}

asio::awaitable<Result<std::vector<ListedVm>>> RecordTable::listVms()
{
    auto found = co_await m_store->read(std::string(VmTable), m_timeout, {}, {});
    if (!found)
        co_return toReadError(std::move(found.error()));
    std::vector<ListedVm> vms;
    for (auto &it : found.value())
        vms.push_back({ VmId(std::move(it.key)),
                        it.value == LeavingVm ? VmState::Leaving : VmState::Live });
    co_return vms;
}

} // namespace bluebell
