#include "config/delta.h"

#include <algorithm>
#include <iterator>

namespace bluebell {

ConfigDelta diffLines(const LineSet &before, const LineSet &after)
{
    ConfigDelta delta;
    std::set_difference(after.begin(), after.end(), before.begin(), before.end(),
                        std::back_inserter(delta.added));
    std::set_difference(before.begin(), before.end(), after.begin(), after.end(),
                        std::back_inserter(delta.removed));
    return delta;
}

void applyDelta(const ConfigDelta &delta, LineSet &lines)
{
    for (const auto &line : delta.removed)
        lines.erase(line);
    lines.insert(delta.added.begin(), delta.added.end());
}

} // namespace bluebell
