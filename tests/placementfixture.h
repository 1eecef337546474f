#pragma once

#include "placement/swapplanner.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

/// \file
/// A planner with engines whose reports are supplied by the test.

namespace bluebell::tests {

class PlacementFixture : public ::testing::Test
{
protected:
    static constexpr TimePoint Start { std::chrono::seconds(100) };
    inline static const ServiceId Engines { "engines" };
    inline static const VmId Vm { "vm-1" };

    /// Sizes and load times of the larger deployment: three models of 25 GB on an engine of 83 GB.
    static EngineSpec spec(int models)
    {
        EngineSpec engine;
        engine.weights = 83000;
        engine.hostMemory = 56000;
        engine.disk = 300000;
        engine.adapterSlots = 4;
        engine.storeLoadsPerSecond = 3;
        engine.slots = 64;
        for (int n = 0; n < models; ++n) {
            ModelSpec model;
            model.weights = 25000;
            model.adapterWeights = 60;
            model.storeLoadTime = std::chrono::milliseconds(10200);
            model.diskLoadTime = std::chrono::milliseconds(400);
            model.memoryLoadTime = std::chrono::milliseconds(300);
            engine.models.emplace(ModelId("m" + std::to_string(n)), model);
        }
        return engine;
    }
    static ReplicaKey model(const std::string &name) { return { ModelId(name), AdapterId() }; }

    TargetEntry &addEngine(const std::string &name, const std::vector<std::string> &resident,
                           const std::vector<std::string> &onDisk = {},
                           const std::string &dataCentre = "a")
    {
        TargetEntry entry;
        entry.id = TargetId(name);
        entry.service = Engines;
        entry.dataCentre = DataCentreId(dataCentre);
        entry.slots = 64;
        entry.startTimeMs = 1;
        EngineState state;
        for (const auto &it : resident)
            state.resident.insert(model(it));
        for (const auto &it : onDisk)
            state.onDisk.insert(ModelId(it));
        entry.engine = state;
        return m_entries[entry.id] = entry;
    }
    void start(const EngineSpec &engine)
    {
        Service service;
        service.name = Engines;
        service.engine = engine;
        m_planner.setServices({ { Engines, service } });
        refresh();
    }
    /// Passes the entries, and reports of all engines that match them.
    void refresh()
    {
        m_planner.noteTargets(m_entries, m_now);
        for (const auto &[id, entry] : m_entries)
            m_planner.noteReport(id, entry.startTimeMs, *entry.engine, m_now);
    }
    static ModelDemand demand(const ReplicaKey &key, std::uint32_t waiting, double perSecond = 0)
    {
        ModelDemand it;
        it.service = Engines;
        it.key = key;
        it.waiting = waiting;
        it.urgency = 9.0 * waiting;
        it.arrivalsPerSecond = perSecond;
        return it;
    }
    std::vector<PlacementOrder> plan(const std::vector<ModelDemand> &all,
                                     const std::vector<ModelInFlight> &inFlight = {})
    {
        m_planner.noteDemand(Vm, all, inFlight, m_now);
        return m_planner.plan(m_now);
    }
    static bool contains(const std::vector<PlacementOrder> &orders, const std::string &target,
                         IntentAction action, const ReplicaKey &key)
    {
        return std::any_of(orders.begin(), orders.end(), [&](const auto &it) {
            return it.target == TargetId(target) && it.action == action && it.key == key;
        });
    }

    TimePoint m_now = Start;
    std::map<TargetId, TargetEntry> m_entries;
    SwapPlanner m_planner;
};

} // namespace bluebell::tests
