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
/// Rows, objects and the list of VMs in the platform's store.

namespace bluebell {

/// A row with the version of its last write.
struct Row
{
    std::string key;
    std::string value;
    RowVersion version = 0;
};

/// Requires that a row has this version; 0 requires that it is absent.
struct Condition
{
    std::string key;
    RowVersion version = 0;
};

/// Writes a row, or deletes it when there is no value.
struct Mutation
{
    std::string key;
    std::optional<std::string> value;
};

/// Mutations that are committed atomically if all conditions hold.
struct Transaction
{
    /// Included in the values written, so that after a lost reply a read shows whether the
    /// transaction was committed.
    ChangeId change;
    std::vector<Condition> conditions;
    std::vector<Mutation> mutations;
};

/// The transaction was committed; all rows written have this version.
struct Committed
{
    RowVersion version = 0;
};

/// A condition did not hold; nothing was written.
struct Conflicted
{
};

/// Table in which the operators list the VMs.
inline constexpr std::string_view VmTable = "vms";
/// Value of the row of a VM that is about to be removed.
inline constexpr std::string_view LeavingVm = "leaving";

using CommitOutcome = std::variant<Committed, Conflicted>;

enum class VmState : std::uint8_t {
    Live,
    Leaving,
};

/// A VM in the operators' table, which may lag behind its actual state.
struct ListedVm
{
    VmId vm;
    VmState state = VmState::Live;
};

/// Client of one table of the store; also determines the outcome of transactions whose reply was
/// lost.
///
/// Errors carry Execution::NotRun when the store cannot have executed the request, and
/// Execution::OutcomeUnknown otherwise.
class RecordTable
{
public:
    /// \param timeout time limit of each request to the store
    explicit RecordTable(Endpoint endpoint, Duration timeout = std::chrono::seconds(2))
        : m_store(std::move(endpoint)), m_timeout(timeout)
    {
    }

    /// \returns the row, or nullopt when it is absent
    [[nodiscard]] boost::asio::awaitable<Result<std::optional<Row>>> get(std::string key);

    /// Reads the rows whose keys begin with `prefix`.
    ///
    /// \param after returns only keys greater than this one; empty for all
    [[nodiscard]] boost::asio::awaitable<Result<std::vector<Row>>> range(std::string prefix,
                                                                         std::string after = {});

    /// Sends a transaction once, without determining its outcome after a lost reply.
    [[nodiscard]] boost::asio::awaitable<Result<CommitOutcome>> commitOnce(Transaction it);

    /// Sends a transaction, retries it after failures, and after a lost reply reads whether it was
    /// committed.
    ///
    /// It fails with an unknown outcome if the store has come back from an older copy since a
    /// version in the conditions was read, even if the row shows that it was committed.
    ///
    /// The first mutation must write a value that includes the change id, or delete its row.
    ///
    /// \param deadline no retry is scheduled after this time
    /// \returns the outcome, or an error when it could not be determined by `deadline`
    [[nodiscard]] boost::asio::awaitable<Result<CommitOutcome>> commit(Transaction it,
                                                                       TimePoint deadline);

    [[nodiscard]] boost::asio::awaitable<Result<void>> putObject(std::string name,
                                                                 std::string value);
    [[nodiscard]] boost::asio::awaitable<Result<std::string>> getObject(std::string name);

    /// Reads the operators' table of VMs; it has one row for each VM, with its state as the value.
    [[nodiscard]] boost::asio::awaitable<Result<std::vector<ListedVm>>> listVms();

private:
    platform::Store m_store;
    Duration m_timeout;
};

} // namespace bluebell
