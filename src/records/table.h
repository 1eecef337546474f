#pragma once

#include "core/ids.h"
#include "core/result.h"
#include "core/time.h"
#include "records/recordstore.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Rows, objects and the list of VMs in the platform's store.

namespace bluebell {

/// Table in which the operators list the VMs.
inline constexpr std::string_view VmTable = "vms";
/// Value of the row of a VM that is about to be removed.
inline constexpr std::string_view LeavingVm = "leaving";

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

/// One table of the store; also determines the outcome of transactions whose reply was
/// lost.
///
/// Errors carry Execution::NotRun when the store cannot have executed the request, and
/// Execution::OutcomeUnknown otherwise.
class RecordTable
{
public:
    /// \param store must not be null
    /// \param timeout time limit of each request to the store
    explicit RecordTable(std::unique_ptr<RecordStore> store,
                         Duration timeout = std::chrono::seconds(2))
        : m_store(std::move(store)), m_timeout(timeout)
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
    std::unique_ptr<RecordStore> m_store;
    Duration m_timeout;
};

} // namespace bluebell
