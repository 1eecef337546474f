#include "routing/entryselector.h"

#include "core/digest.h"

#include <algorithm>
#include <utility>

namespace bluebell {

EntryList selectEntries(std::string_view organisation, std::vector<EntryAddress> entries,
                        std::size_t count, Duration maxAge)
{
    const auto role = "org/" + std::string(organisation);
    const auto rank = [&role](const EntryAddress &it) {
        return std::pair(!it.isLeaving, rendezvousScore(role, it.vm.value()));
    };
    std::sort(entries.begin(), entries.end(),
              [&rank](const auto &a, const auto &b) { return rank(a) > rank(b); });
    const bool hasAvailable = !entries.empty() && !entries.front().isLeaving;
    if (hasAvailable)
        std::erase_if(entries, [](const EntryAddress &it) { return it.isLeaving; });
    if (entries.size() > count)
        entries.resize(count);
    return EntryList { std::move(entries), maxAge };
}

} // namespace bluebell
