#include "peer/statuscodec.h"

#include "peer/generated/status.capnp.h"
#include "peer/wirefields.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <algorithm>
#include <cstring>
#include <limits>

namespace bluebell {
namespace {

using std::chrono::milliseconds;

using detail::text;
using detail::toWire;

ReplicaKey keyOf(capnp::Text::Reader model, capnp::Text::Reader adapter)
{
    return { ModelId(text(model)), AdapterId(text(adapter)) };
}

template<typename Out>
void writeKey(const ReplicaKey &key, Out out)
{
    out.setModel(key.model.value());
    out.setAdapter(key.adapter.value());
}

void writeDemand(const std::vector<ModelDemand> &demand, wire::Status::Builder out)
{
    auto list = out.initDemand(static_cast<unsigned>(demand.size()));
    for (unsigned n = 0; n < demand.size(); ++n) {
        const auto &it = demand[n];
        list[n].setService(it.service.value());
        writeKey(it.key, list[n]);
        list[n].setWaiting(it.waiting);
        list[n].setUrgency(it.urgency);
        list[n].setOldestWaitMs(toWire(it.oldestWait));
        list[n].setArrivalsPerSecond(static_cast<float>(it.arrivalsPerSecond));
    }
}

void writeInFlight(const std::vector<ModelInFlight> &inFlight, wire::Status::Builder out)
{
    auto list = out.initInFlight(static_cast<unsigned>(inFlight.size()));
    for (unsigned n = 0; n < inFlight.size(); ++n) {
        list[n].setTarget(inFlight[n].target.value());
        writeKey(inFlight[n].key, list[n]);
        list[n].setCount(inFlight[n].count);
    }
}

void writeRates(const std::vector<RateUsage> &rates, wire::Status::Builder out)
{
    auto list = out.initRates(static_cast<unsigned>(rates.size()));
    for (unsigned n = 0; n < rates.size(); ++n) {
        list[n].setOrganisation(rates[n].organisation.value());
        list[n].setAdmitted(rates[n].admitted);
        list[n].setLevel(rates[n].level);
        list[n].setAcknowledged(rates[n].acknowledged);
    }
}

void writeEstimates(const std::vector<LoadEstimate> &estimates, wire::Status::Builder out)
{
    auto list = out.initEstimates(static_cast<unsigned>(estimates.size()));
    for (unsigned n = 0; n < estimates.size(); ++n) {
        list[n].setService(estimates[n].service.value());
        list[n].setModel(estimates[n].model.value());
        list[n].setReadyInMs(toWire(estimates[n].readyIn));
    }
}

} // namespace

namespace detail {

std::string text(capnp::Text::Reader in)
{
    return { in.cStr(), in.size() };
}

Duration fromWire(std::uint64_t ms)
{
    constexpr milliseconds Year = std::chrono::hours(24 * 365);
    return milliseconds(std::min(ms, static_cast<std::uint64_t>(Year.count())));
}

std::uint32_t toWire(Duration d)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
            toMilliseconds(d).count(), 0, std::numeric_limits<std::uint32_t>::max()));
}

void writeResidents(const ResidentReplicas &residents,
                    capnp::List<wire::StatusResident>::Builder out)
{
    unsigned n = 0;
    for (const auto &[target, keys] : residents) {
        std::map<ModelId, std::vector<std::string>> adapters;
        for (const auto &key : keys) {
            auto &names = adapters[key.model];
            if (!key.adapter.isEmpty())
                names.push_back(key.adapter.value());
        }
        auto it = out[n++];
        it.setTarget(target.value());
        auto replicas = it.initReplicas(static_cast<unsigned>(adapters.size()));
        unsigned m = 0;
        for (const auto &[model, names] : adapters) {
            replicas[m].setModel(model.value());
            auto list = replicas[m++].initAdapters(static_cast<unsigned>(names.size()));
            for (unsigned k = 0; k < names.size(); ++k)
                list.set(k, names[k]);
        }
    }
}

ResidentReplicas readResidents(capnp::List<wire::StatusResident>::Reader in)
{
    ResidentReplicas residents;
    for (const auto it : in) {
        auto &keys = residents[TargetId(text(it.getTarget()))];
        for (const auto replica : it.getReplicas()) {
            const ModelId model(text(replica.getModel()));
            keys.insert({ model, AdapterId() });
            for (const auto adapter : replica.getAdapters())
                keys.insert({ model, AdapterId(text(adapter)) });
        }
    }
    return residents;
}

namespace {

using WireStage = wire::QuarantineSuspect::Stage;

WireStage toWire(ResponseStage stage)
{
    switch (stage) {
    case ResponseStage::Begun:
        return WireStage::BEGUN;
    case ResponseStage::Awaited:
        return WireStage::AWAITED;
    case ResponseStage::Starting:
        break;
    }
    return WireStage::STARTING;
}

ResponseStage fromWire(WireStage stage)
{
    switch (stage) {
    case WireStage::AWAITED:
        return ResponseStage::Awaited;
    case WireStage::STARTING:
        return ResponseStage::Starting;
    default:
        return ResponseStage::Begun;
    }
}

} // namespace

void writeQuarantine(const QuarantineUpdate &update, wire::Quarantine::Builder out)
{
    out.setChecksum(update.checksum);
    auto crashes = out.initCrashes(static_cast<unsigned>(update.crashes.size()));
    for (unsigned n = 0; n < update.crashes.size(); ++n) {
        const auto &crash = update.crashes[n];
        crashes[n].setTarget(crash.run.target.value());
        crashes[n].setStartTimeMs(crash.run.startTimeMs);
        crashes[n].setAgeMs(toWire(crash.age));
        auto suspects = crashes[n].initSuspects(static_cast<unsigned>(crash.suspects.size()));
        for (unsigned m = 0; m < crash.suspects.size(); ++m) {
            suspects[m].setPart(crash.suspects[m].part.value());
            suspects[m].setStage(toWire(crash.suspects[m].stage));
            suspects[m].setSentBeforeMs(toWire(crash.suspects[m].sentBefore));
            suspects[m].setDepth(crash.suspects[m].depth);
            suspects[m].setIsCleared(crash.suspects[m].isCleared);
        }
    }
    auto verdicts = out.initVerdicts(static_cast<unsigned>(update.verdicts.size()));
    for (unsigned n = 0; n < update.verdicts.size(); ++n) {
        const auto &verdict = update.verdicts[n];
        verdicts[n].setPart(verdict.part.value());
        verdicts[n].setGeneration(verdict.generation);
        verdicts[n].setIsLifted(verdict.isLifted);
        verdicts[n].setFailedTrials(verdict.failedTrials);
        verdicts[n].setAgeMs(toWire(verdict.age));
    }
}

QuarantineUpdate readQuarantine(wire::Quarantine::Reader in)
{
    QuarantineUpdate update;
    update.checksum = in.getChecksum();
    for (const auto it : in.getCrashes()) {
        CrashReport crash { { TargetId(text(it.getTarget())), it.getStartTimeMs() },
                            fromWire(it.getAgeMs()),
                            {} };
        for (const auto suspect : it.getSuspects())
            crash.suspects.push_back({ PromptPartId(text(suspect.getPart())),
                                       fromWire(suspect.getStage()), suspect.getDepth(),
                                       fromWire(suspect.getSentBeforeMs()),
                                       suspect.getIsCleared() });
        update.crashes.push_back(std::move(crash));
    }
    for (const auto it : in.getVerdicts())
        update.verdicts.push_back({ PromptPartId(text(it.getPart())), it.getGeneration(),
                                    it.getIsLifted(), it.getFailedTrials(),
                                    fromWire(it.getAgeMs()) });
    return update;
}

void writeEvacuations(const EvacuationUpdate &update, wire::Evacuations::Builder out)
{
    out.setVersion(update.version);
    auto all =
            out.initDataCentres(static_cast<unsigned>(update.listed.size() + update.kept.size()));
    unsigned n = 0;
    for (const auto &it : update.listed)
        all[n++].setName(it.value());
    for (const auto &[dataCentre, left] : update.kept) {
        all[n].setName(dataCentre.value());
        all[n++].setKeptMs(std::max(toWire(left), 1U));
    }
}

EvacuationUpdate readEvacuations(wire::Evacuations::Reader in)
{
    EvacuationUpdate update;
    update.version = in.getVersion();
    for (const auto it : in.getDataCentres()) {
        const DataCentreId dataCentre(text(it.getName()));
        if (it.getKeptMs() > 0)
            update.kept.emplace(dataCentre, fromWire(it.getKeptMs()));
        else
            update.listed.insert(dataCentre);
    }
    return update;
}

void writeStatus(const DaemonStatus &status, wire::Status::Builder out)
{
    out.setVm(status.vm.value());
    out.setIncarnation(status.incarnation.value());
    out.setUptimeMs(static_cast<std::uint64_t>(toMilliseconds(status.uptime).count()));
    out.setIsReady(status.isReady);
    out.setConfigVersion(status.configVersion);
    out.setRegistryVersion(status.registryVersion);
    out.setStoreSilenceMs(toWire(status.timeSinceStoreReply));
    out.setLeaderEpoch(status.leaderEpoch);
    writeDemand(status.demand, out);
    writeInFlight(status.inFlight, out);
    writeRates(status.rates, out);
    const auto &changed = status.placement.changed;
    writeResidents(changed, out.initResidents(static_cast<unsigned>(changed.size())));
    out.setPlacementBase(status.placement.base);
    out.setPlacementNumber(status.placement.number);
    out.setTellsDemand(status.includesDemand);
    writeEstimates(status.estimates, out);
    writeQuarantine(status.quarantine, out.initQuarantine());
    writeEvacuations(status.evacuations, out.initEvacuations());
}

DaemonStatus readStatus(wire::Status::Reader in)
{
    DaemonStatus status;
    status.vm = VmId(text(in.getVm()));
    status.incarnation = IncarnationId(text(in.getIncarnation()));
    status.uptime = fromWire(in.getUptimeMs());
    status.isReady = in.getIsReady();
    status.configVersion = in.getConfigVersion();
    status.registryVersion = in.getRegistryVersion();
    status.timeSinceStoreReply = milliseconds(in.getStoreSilenceMs());
    status.leaderEpoch = in.getLeaderEpoch();
    status.includesDemand = in.getTellsDemand();
    status.placement.base = in.getPlacementBase();
    status.placement.number = in.getPlacementNumber();
    for (const auto it : in.getDemand())
        status.demand.push_back({ ServiceId(text(it.getService())),
                                  keyOf(it.getModel(), it.getAdapter()), it.getWaiting(),
                                  it.getUrgency(), milliseconds(it.getOldestWaitMs()),
                                  it.getArrivalsPerSecond() });
    for (const auto it : in.getInFlight())
        status.inFlight.push_back({ TargetId(text(it.getTarget())),
                                    keyOf(it.getModel(), it.getAdapter()), it.getCount() });
    for (const auto it : in.getRates())
        status.rates.push_back({ OrganisationId(text(it.getOrganisation())), it.getAdmitted(),
                                 it.getLevel(), it.getAcknowledged() });
    for (const auto it : in.getEstimates())
        status.estimates.push_back({ ServiceId(text(it.getService())), ModelId(text(it.getModel())),
                                     milliseconds(it.getReadyInMs()) });
    status.placement.changed = readResidents(in.getResidents());
    status.quarantine = readQuarantine(in.getQuarantine());
    status.evacuations = readEvacuations(in.getEvacuations());
    return status;
}

} // namespace detail

std::string encode(const DaemonStatus &status)
{
    capnp::MallocMessageBuilder message;
    detail::writeStatus(status, message.initRoot<wire::Status>());
    const auto words = capnp::messageToFlatArray(message);
    const auto bytes = words.asBytes();
    return { reinterpret_cast<const char *>(bytes.begin()), bytes.size() };
}

Result<DaemonStatus> decodeStatus(std::string_view bytes)
{
    if (bytes.empty() || bytes.size() % sizeof(capnp::word) != 0)
        return makeError(ErrorCode::InvalidArgument, "a status of a wrong length");
    auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.begin(), bytes.data(), bytes.size());
    try {
        capnp::FlatArrayMessageReader reader(words);
        return detail::readStatus(reader.getRoot<wire::Status>());
    } catch (const kj::Exception &e) {
        return makeError(ErrorCode::InvalidArgument,
                         std::string("malformed status: ") + e.getDescription().cStr());
    }
}

} // namespace bluebell
