#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "placement/modeldemand.h"

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

/// \file
/// Sums up the demand for models that all daemons report.

namespace bluebell {

/// \returns the urgency of the waiting requests, weighted by the longest wait
[[nodiscard]] double pressureOf(const ModelDemand &it);

/// The demand and the requests in flight of all daemons.
class FleetDemand
{
public:
    /// Requests in flight by target and model.
    using InFlightCounts = std::map<std::pair<TargetId, ModelId>, std::uint32_t>;

    /// Sets how long a daemon's demand stays valid without renewal.
    void setLifetime(Duration lifetime) { m_lifetime = lifetime; }
    /// Replaces one daemon's demand and requests in flight.
    void note(const VmId &vm, std::vector<ModelDemand> demand, std::vector<ModelInFlight> inFlight,
              TimePoint now);
    /// Drops expired demand and sums up the rest over all daemons.
    void aggregate(TimePoint now);

    // Queries, as of the last aggregation.

    /// \returns the sum for each model or adapter, the highest pressure first
    [[nodiscard]] const std::vector<ModelDemand> &total() const noexcept { return m_total; }
    [[nodiscard]] const InFlightCounts &inFlight() const noexcept { return m_inFlight; }
    [[nodiscard]] std::uint32_t inFlightAt(const TargetId &target, const ModelId &model) const;
    /// \returns the requests of all models in flight at a target
    [[nodiscard]] std::uint32_t targetLoad(const TargetId &target) const;

private:
    struct VmDemand
    {
        std::vector<ModelDemand> demand;
        std::vector<ModelInFlight> inFlight;
        TimePoint at;
    };

    std::map<VmId, VmDemand> m_reported;
    Duration m_lifetime = std::chrono::milliseconds(1400);
    std::vector<ModelDemand> m_total;
    InFlightCounts m_inFlight;
    std::map<TargetId, std::uint32_t> m_targetLoad;
};

} // namespace bluebell
