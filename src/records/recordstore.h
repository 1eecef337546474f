#pragma once

#include "core/ids.h"
#include "core/result.h"
#include "core/rowversion.h"
#include "core/time.h"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>
#include <variant>
#include <vector>

/// \file
/// The store as the records need it: rows with versions, transactions and objects.

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

using CommitOutcome = std::variant<Committed, Conflicted>;

/// Store of rows and objects, implemented by the client of the platform's store.
///
/// An error has Execution::NotRun if the store has not executed the call, and OutcomeUnknown
/// otherwise.
class RecordStore
{
public:
    RecordStore() = default;
    virtual ~RecordStore() = default;
    RecordStore(const RecordStore &) = delete;
    RecordStore &operator=(const RecordStore &) = delete;

    /// Reads all rows of a table with `from` <= key < `to`. An empty string means no bound.
    ///
    /// \param timeout timeout of each call to the store, of which a large range needs several
    [[nodiscard]] virtual boost::asio::awaitable<Result<std::vector<Row>>>
    read(std::string table, Duration timeout, std::string from, std::string to) = 0;

    /// Sends a transaction on the rows of a table, without retries.
    [[nodiscard]] virtual boost::asio::awaitable<Result<CommitOutcome>>
    write(std::string table, Transaction transaction, Duration timeout) = 0;

    [[nodiscard]] virtual boost::asio::awaitable<Result<void>>
    putObject(std::string name, std::string value, Duration timeout) = 0;
    /// \returns the object's content, or NotFound
    [[nodiscard]] virtual boost::asio::awaitable<Result<std::string>>
    getObject(std::string name, Duration timeout) = 0;
};

} // namespace bluebell
