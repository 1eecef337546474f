#pragma once

#include "core/ids.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

/// \file
/// Versioned changes of the configuration.

namespace bluebell {

/// Version number of a configuration; 0 means none.
using ConfigVersion = std::uint64_t;

/// The rule lines of a configuration, in canonical form.
using LineSet = std::set<std::string>;

/// One accepted change: the lines that `version` adds to and removes from the previous version.
struct ConfigDelta
{
    ConfigVersion version = 0;
    std::vector<std::string> added;
    std::vector<std::string> removed;
    std::string author;
    ChangeId change;
};

/// A complete configuration.
struct ConfigSnapshot
{
    ConfigVersion version = 0;
    LineSet lines;
};

/// \returns the change from `before` to `after`, without version, author and change id
[[nodiscard]] ConfigDelta diffLines(const LineSet &before, const LineSet &after);

/// Applies `delta` to `lines`.
void applyDelta(const ConfigDelta &delta, LineSet &lines);

} // namespace bluebell
