#include "relay/digest.h"

#include "core/digest.h"

#include <algorithm>
#include <tuple>

namespace bluebell {
namespace {

auto routedBy(const TargetEntry &it)
{
    return std::tuple(it.id, it.service, it.address, it.dataCentre, it.slots, it.isDraining,
                      it.startTimeMs, it.coldTime, it.engine.has_value());
}

} // namespace

std::uint64_t contentHash(const std::string &key, const TargetRow &row)
{
    if (!row.entry)
        return stableHash(key);
    const auto &it = *row.entry;
    // Without a cold period, the hash is that of the previous build.
    const auto cold = it.coldTime > Duration::zero()
            ? "|c" + std::to_string(toMilliseconds(it.coldTime).count())
            : std::string();
    return stableHash(key + '|' + it.service.value() + '|' + toString(it.address) + '|'
                      + it.dataCentre.value() + '|' + std::to_string(it.slots) + '|'
                      + std::to_string(it.startTimeMs) + (it.isDraining ? "|d" : "|r")
                      + (it.engine ? "e" : "p") + cold);
}

bool operator==(const TargetRow &a, const TargetRow &b)
{
    if (!a.entry || !b.entry)
        return a.entry.has_value() == b.entry.has_value();
    return routedBy(*a.entry) == routedBy(*b.entry);
}

void setColdLeft(RowChanges<std::string, TargetRow> &targets, TimePoint now)
{
    for (auto &[key, row] : targets.rows)
        if (row && row->entry)
            row->coldLeft = std::max<Duration>(row->entry->coldUntil - now, Duration::zero());
}

TargetRow relayedRow(const std::optional<TargetEntry> &entry)
{
    TargetRow row { entry, {} };
    if (row.entry && row.entry->engine)
        row.entry->engine = EngineState();
    return row;
}

} // namespace bluebell
