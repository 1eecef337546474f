#include "relay/digest.h"

#include "core/digest.h"

#include <tuple>

namespace bluebell {
namespace {

auto routedBy(const TargetEntry &it)
{
    return std::tuple(it.id, it.service, it.address, it.dataCentre, it.slots, it.isDraining,
                      it.startTimeMs, it.engine.has_value());
}

} // namespace

std::uint64_t contentHash(const std::string &key, const TargetRow &row)
{
    if (!row.entry)
        return stableHash(key);
    const auto &it = *row.entry;
    return stableHash(key + '|' + it.service.value() + '|' + toString(it.address) + '|'
                      + it.dataCentre.value() + '|' + std::to_string(it.slots) + '|'
                      + std::to_string(it.startTimeMs) + (it.isDraining ? "|d" : "|r")
                      + (it.engine ? "e" : "p"));
}

bool operator==(const TargetRow &a, const TargetRow &b)
{
    if (!a.entry || !b.entry)
        return a.entry.has_value() == b.entry.has_value();
    return routedBy(*a.entry) == routedBy(*b.entry);
}

TargetRow relayedRow(const std::optional<TargetEntry> &entry)
{
    TargetRow row { entry };
    if (row.entry && row.entry->engine)
        row.entry->engine = EngineState();
    return row;
}

} // namespace bluebell
