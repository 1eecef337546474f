#pragma once

#include "core/ids.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

/// \file
/// Changes of the configuration.

namespace bluebell {

/// Number of a configuration; 0 stands for none.
using ConfigVersion = std::uint64_t;

/// The rule lines of a configuration in canonical form.
using LineSet = std::set<std::string>;

/// One accepted change: what version `version` adds to and removes from the one before it.
struct ConfigDelta
{
    ConfigVersion version = 0;
    std::vector<std::string> added;
    std::vector<std::string> removed;
    std::string author;
    ChangeId change;
};

/// A whole configuration.
struct ConfigSnapshot
{
    ConfigVersion version = 0;
    LineSet lines;
};

/// \returns the change that leads from `before` to `after`, without version, author and id
[[nodiscard]] ConfigDelta diffLines(const LineSet &before, const LineSet &after);

/// Puts `delta` into `lines`.
void applyDelta(const ConfigDelta &delta, LineSet &lines);

} // namespace bluebell
