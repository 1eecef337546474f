#pragma once

#include "config/configreplica.h"
#include "records/table.h"

#include <boost/asio/awaitable.hpp>

#include <variant>

/// \file
/// The configuration's log in the table service.

namespace bluebell {

/// The change was committed as this version.
struct Published
{
    ConfigVersion version = 0;
};

/// Another change was committed since the base.
struct Superseded
{
    ConfigVersion head = 0;
};

using PublishOutcome = std::variant<Published, Superseded>;

/// Reads the newest version into `replica`.
///
/// \returns an error when the table service gave no answer; the replica then stays as it was
[[nodiscard]] boost::asio::awaitable<Result<void>> pullConfig(RecordTable &records,
                                                              ConfigReplica &replica);

/// Commits `delta` on top of version `base`.
///
/// A lost reply is resolved by reading, so that the change is never made twice.
///
/// \returns the outcome; an error while it could not be found out
[[nodiscard]] boost::asio::awaitable<Result<PublishOutcome>>
publishConfig(RecordTable &records, const LineSet &baseLines, ConfigVersion base, ConfigDelta delta,
              TimePoint deadline);

} // namespace bluebell
