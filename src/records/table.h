#pragma once

#include "core/ids.h"
#include "core/result.h"
#include "membership/lease.h"
#include "platform/store.h"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// \file
/// The rows and objects of a site of our own, and its list of VMs, in the platform's store.

namespace bluebell {

struct Row
{
    std::string key;
    std::string value;
    RowVersion version = 0;
};

/// A row must have this version; 0 says that it must be absent.
struct Condition
{
    std::string key;
    RowVersion version = 0;
};

/// A row gets this value; no value deletes it.
struct Mutation
{
    std::string key;
    std::optional<std::string> value;
};

/// Conditions and mutations that take effect together or not at all.
struct Transaction
{
    /// Stands in the values written, so that a lost reply can be resolved by a read.
    ChangeId change;
    std::vector<Condition> conditions;
    std::vector<Mutation> mutations;
};

/// The transaction took effect; all rows written have this version.
struct Committed
{
    RowVersion version = 0;
};

/// A condition was not met; nothing was written.
struct Conflicted
{
};

/// Table in which the operators list the VMs.
inline constexpr std::string_view VmTable = "vms";
/// Value of the row of a VM that is about to be taken away.
inline constexpr std::string_view LeavingVm = "leaving";

using CommitOutcome = std::variant<Committed, Conflicted>;

enum class VmState : std::uint8_t {
    Live,
    Leaving,
};

/// A VM as the platform lists it, with a lag.
struct ListedVm
{
    VmId vm;
    VmState state = VmState::Live;
};

/// Keeps the rows in one table of the store, each under its key, and finds out what became of
/// transactions whose answer was lost.
///
/// Errors carry NotRun when the store cannot have acted, and OutcomeUnknown otherwise.
class RecordTable
{
public:
    explicit RecordTable(Endpoint endpoint, Duration timeout = std::chrono::seconds(2))
        : m_store(std::move(endpoint)), m_timeout(timeout)
    {
    }

    /// \returns the row, or nothing when it is absent
    [[nodiscard]] boost::asio::awaitable<Result<std::optional<Row>>> get(std::string key);

    /// \param after only keys greater than this one; empty for all
    [[nodiscard]] boost::asio::awaitable<Result<std::vector<Row>>> range(std::string prefix,
                                                                         std::string after = {});

    /// Sends a transaction once.
    [[nodiscard]] boost::asio::awaitable<Result<CommitOutcome>> commitOnce(Transaction it);

    /// Sends a transaction, and after a lost reply finds out by reading whether it took effect.
    ///
    /// The first mutation must write a value that holds the change id.
    ///
    /// \param deadline no attempt starts after this time
    /// \returns the outcome; an error only while it could not be found out
    [[nodiscard]] boost::asio::awaitable<Result<CommitOutcome>> commit(Transaction it,
                                                                       TimePoint deadline);

    [[nodiscard]] boost::asio::awaitable<Result<void>> putObject(std::string name,
                                                                 std::string value);
    [[nodiscard]] boost::asio::awaitable<Result<std::string>> getObject(std::string name);

    /// Reads the operators' table of VMs: a row each, whose value is its state.
    [[nodiscard]] boost::asio::awaitable<Result<std::vector<ListedVm>>> listVms();

private:
    platform::Store m_store;
    Duration m_timeout;
};

} // namespace bluebell
