#pragma once

#include "core/time.h"
#include "placement/modeldemand.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

/// \file
/// Demand for models among this daemon's requests.

namespace bluebell {

/// Identifies one waiting request.
using WaitId = std::uint64_t;

/// Tracks the arrival rate and the waiting requests of each model and adapter.
class DemandTracker
{
public:
    // Events.

    /// Counts a request for `key` towards its arrival rate.
    void noteArrival(const ServiceId &service, const ReplicaKey &key, TimePoint now);
    /// Registers a request that waits for `key` to be loaded.
    [[nodiscard]] WaitId startWait(const ServiceId &service, const ReplicaKey &key, double urgency,
                                   TimePoint now);
    /// Removes a waiting request; unknown ids are ignored.
    void endWait(WaitId wait);
    /// Counts a request as waiting until the given time.
    ///
    /// For a request that was answered with "retry later": its demand persists until the retry.
    void keepUntil(WaitId wait, TimePoint until);

    // Queries.

    /// \returns the demand for every model and adapter with recent arrivals or waiting requests
    [[nodiscard]] std::vector<ModelDemand> demand(TimePoint now);
    [[nodiscard]] std::size_t waitingCount() const noexcept { return m_waits.size(); }

private:
    using Key = std::pair<ServiceId, ReplicaKey>;

    struct Rate
    {
        /// Exponentially decayed number of arrivals as of `at`.
        double weight = 0;
        TimePoint at;
    };
    struct Wait
    {
        Key key;
        double urgency = 0;
        TimePoint since;
        /// When the wait expires; set for a request that was answered with "retry later".
        std::optional<TimePoint> until;
    };

    static void decay(Rate &rate, TimePoint now);

    std::map<Key, Rate> m_rates;
    std::map<WaitId, Wait> m_waits;
    WaitId m_next = 1;
};

} // namespace bluebell
