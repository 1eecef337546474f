#include "placement/modelcopies.h"

#include <algorithm>
#include <set>

namespace bluebell {

void ModelCopies::countAt(const EngineTracker &it, const EnginePool &engines)
{
    const auto &service = it.entry().service;
    std::set<ModelId> atHand = it.state().onDisk;
    atHand.insert(it.state().inMemory.begin(), it.state().inMemory.end());
    for (const auto &key : it.state().resident) {
        atHand.insert(key.model);
        if (key.adapter.isEmpty() && it.serves(key))
            ++m_models[{ service, key.model }].copies;
    }
    if (const auto *order = it.order(); order && order->action == IntentAction::Load) {
        if (const auto *engine = engines.engineOf(service); engine && !order->isForAdapter())
            for (const auto &lost : it.copiesLostByLoading(*engine, order->key.model))
                atHand.erase(lost);
        atHand.insert(order->key.model);
    }
    for (const auto &model : atHand)
        ++m_models[{ service, model }].atHand;
}

void ModelCopies::count(const EnginePool &engines, const std::vector<ModelDemand> &demand)
{
    m_models.clear();
    for (const auto &it : demand) {
        auto &status = m_models[{ it.service, it.key.model }];
        status.perSecond += it.arrivalsPerSecond;
        status.waiting += it.urgency;
    }
    for (const auto &[id, it] : engines.engines())
        if (it.isUsable(it.entry().service))
            countAt(it, engines);
}

void ModelCopies::noteLoad(const EnginePool &engines, const EngineTracker &it, const ModelId &model)
{
    const auto &service = it.entry().service;
    if (const auto *engine = engines.engineOf(service))
        for (const auto &lost : it.copiesLostByLoading(*engine, model))
            if (auto &atHand = m_models[{ service, lost }].atHand; atHand > 0)
                --atHand;
    ++m_models[{ service, model }].atHand;
}

void ModelCopies::noteUnload(const ServiceId &service, const ModelId &model)
{
    if (auto &copies = m_models[{ service, model }].copies; copies > 0)
        --copies;
}

const ModelStatus &ModelCopies::statusOf(const ServiceId &service, const ModelId &model) const
{
    static const ModelStatus None;
    const auto it = m_models.find({ service, model });
    return it == m_models.end() ? None : it->second;
}

bool ModelCopies::keepsLastCopies(const EnginePool &engines, const EngineTracker &it,
                                  const ModelId &model) const
{
    const auto &service = it.entry().service;
    const auto *engine = engines.engineOf(service);
    if (!engine)
        return false;
    const auto lost = it.copiesLostByLoading(*engine, model);
    return std::none_of(lost.begin(), lost.end(), [&](const ModelId &copy) {
        return engines.specOf(service, copy) && statusOf(service, copy).atHand < 2;
    });
}

bool ModelCopies::isOnlyCopy(const EnginePool &engines, const EngineTracker &it,
                             const ModelId &model) const
{
    const auto *engine = engines.engineOf(it.entry().service);
    // An engine whose disk has unlimited room keeps a copy of an unloaded model.
    if (!engine || engine->disk <= 0 || !engines.specOf(it.entry().service, model))
        return false;
    return !it.state().onDisk.contains(model) && !it.state().inMemory.contains(model)
            && statusOf(it.entry().service, model).atHand < 2;
}

std::size_t ModelCopies::missingModels(const EnginePool &engines) const
{
    std::size_t missing = 0;
    for (const auto &[name, service] : engines.services())
        if (service.engine)
            for (const auto &[model, spec] : service.engine->models)
                missing += statusOf(name, model).atHand == 0 ? 1 : 0;
    return missing;
}

} // namespace bluebell
