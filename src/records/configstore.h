#pragma once

#include "config/configreplica.h"
#include "records/table.h"

#include <boost/asio/awaitable.hpp>

#include <variant>

/// \file
/// Configuration log and snapshots in the table service.

namespace bluebell {

/// The change was committed as this version.
struct Published
{
    ConfigVersion version = 0;
};

/// Another change was committed after the base version; nothing was written.
struct Superseded
{
    /// Newest version at the time of the reply.
    ConfigVersion head = 0;
};

using PublishOutcome = std::variant<Published, Superseded>;

/// Updates `replica` to the newest version.
///
/// Starts from the newest snapshot if the replica is older than it, then applies the deltas.
///
/// If the replica is newer than the table service, which has come back from an older copy, it keeps
/// its version, and the versions that were lost are written again. That fails when another change
/// has been committed in their place, or when the replica does not keep them any more.
///
/// \returns an error when a row or object could not be read, decoded or applied; the replica then
///          keeps the version that it has reached
[[nodiscard]] boost::asio::awaitable<Result<void>> pullConfig(RecordTable &records,
                                                              ConfigReplica &replica);

/// Commits `delta` on top of version `base`.
///
/// After a lost reply, reads whether the change took effect, so that it is never applied twice.
/// Also stores a snapshot of the base version when the last snapshot is 200 versions old.
///
/// \param baseLines the lines of version `base`, for the snapshot
/// \param deadline no retry is scheduled after this time
/// \returns the outcome, or an error when it could not be determined
[[nodiscard]] boost::asio::awaitable<Result<PublishOutcome>>
publishConfig(RecordTable &records, const LineSet &baseLines, ConfigVersion base, ConfigDelta delta,
              TimePoint deadline);

} // namespace bluebell
