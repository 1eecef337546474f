#pragma once

#include "core/time.h"
#include "placement/modeldemand.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

/// \file
/// Which models this daemon's requests use and wait for.

namespace bluebell {

/// Names one waiting request.
using WaitId = std::uint64_t;

/// Counts arrivals and waiting requests of each model and adapter.
class DemandBoard
{
public:
    // Events.

    void noteArrival(const ServiceId &service, const ReplicaKey &key, TimePoint now);
    /// Notes that a request waits for `key` to be loaded.
    [[nodiscard]] WaitId startWait(const ServiceId &service, const ReplicaKey &key, double urgency,
                                   TimePoint now);
    void endWait(WaitId wait);
    /// Keeps the demand of a request that was told to come back, until it does.
    void keepUntil(WaitId wait, TimePoint until);

    // Questions.

    /// \returns what is in use or waited for
    [[nodiscard]] std::vector<ModelDemand> demand(TimePoint now);
    [[nodiscard]] std::size_t waitingCount() const noexcept { return m_waits.size(); }

private:
    using Key = std::pair<ServiceId, ReplicaKey>;

    struct Rate
    {
        /// Arrivals, each fading with time.
        double weight = 0;
        TimePoint at;
    };
    struct Wait
    {
        Key key;
        double urgency = 0;
        TimePoint since;
        /// Set when the request was told to come back.
        std::optional<TimePoint> until;
    };

    static void fade(Rate &rate, TimePoint now);

    std::map<Key, Rate> m_rates;
    std::map<WaitId, Wait> m_waits;
    WaitId m_next = 1;
};

} // namespace bluebell
