#pragma once

#include "core/ids.h"
#include "placement/enginepool.h"
#include "placement/enginetracker.h"
#include "placement/modeldemand.h"

#include <cstddef>
#include <map>
#include <utility>
#include <vector>

/// \file
/// Counts the copies of each model, so that the last one is not evicted.

namespace bluebell {

/// What the demand and the usable engines say about one model.
struct ModelStatus
{
    /// Arrival rate and urgency of the waiting requests, with those for its adapters.
    double perSecond = 0;
    double waiting = 0;
    /// Engines that serve it.
    std::size_t copies = 0;
    /// Engines that have it resident, in memory, on disk or being loaded, without those that
    /// lose it by their load in progress.
    std::size_t atHand = 0;
};

/// Counts the copies of the models on the usable engines, once per plan, and follows the orders of
/// that plan.
class ModelCopies
{
public:
    using Models = std::map<std::pair<ServiceId, ModelId>, ModelStatus>;

    /// Counts all copies anew.
    ///
    /// \param demand sum of the demand of all daemons
    void count(const EnginePool &engines, const std::vector<ModelDemand> &demand);
    /// Applies the start of a load of a model.
    void noteLoad(const EnginePool &engines, const EngineTracker &it, const ModelId &model);
    /// Applies the start of an unload of a model.
    void noteUnload(const ServiceId &service, const ModelId &model);

    [[nodiscard]] const Models &models() const noexcept { return m_models; }
    [[nodiscard]] const ModelStatus &statusOf(const ServiceId &service, const ModelId &model) const;
    /// \returns whether the load evicts no last copy of a configured model
    [[nodiscard]] bool keepsLastCopies(const EnginePool &engines, const EngineTracker &it,
                                       const ModelId &model) const;
    /// \returns whether the model is at hand only by being resident on this engine
    [[nodiscard]] bool isOnlyCopy(const EnginePool &engines, const EngineTracker &it,
                                  const ModelId &model) const;
    /// \returns the number of configured models without a copy at hand
    [[nodiscard]] std::size_t missingModels(const EnginePool &engines) const;

private:
    void countAt(const EngineTracker &it, const EnginePool &engines);

    Models m_models;
};

} // namespace bluebell
