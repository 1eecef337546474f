#include "routing/targetselector.h"

#include "core/digest.h"
#include "routing/loadspreading.h"

#include <algorithm>
#include <utility>

namespace bluebell {
namespace {

using std::chrono::milliseconds;

/// Backoff after the first broken exchange with a target; doubles up to MaxBackoff.
constexpr Duration InitialBackoff = milliseconds(300);
constexpr Duration MaxBackoff = milliseconds(2000);
/// How long an unreachable target gets no request at all.
constexpr Duration UnreachableTime = milliseconds(250);
/// Backoff of a target that refused a request because it is full.
constexpr Duration BackoffWhenFull = milliseconds(60);
/// How long a model counts as not resident after its target reported so.
constexpr Duration NotResidentTime = milliseconds(120);
/// Weight of the latest exchange in the moving averages.
constexpr double SmoothingFactor = 0.15;
/// Cost of a target in another data centre, as a fraction of its slots.
constexpr double RemoteCost = 0.12;
/// Cost of a target that fails every request, as a fraction of its slots.
constexpr double FailureCost = 2.0;
/// Cost of a cold target, as a fraction of its slots. It stands few requests, which are kept for
/// those that no other target can serve.
constexpr double ColdCost = 2.0;
/// Cost of an engine whose slots are all taken, as a fraction of its slots: a request waits there
/// until another one has ended.
constexpr double FullCost = 0.5;
/// Fewest requests that other daemons are assumed to send to the engines of a model until their
/// counts arrive.
constexpr double MinUncountedArrivals = 3;
/// Lower bound of the time that a request is taken to be in flight at an engine.
constexpr Duration MinEngineTime = milliseconds(100);
/// Largest cost added to order targets that are otherwise equal; the order differs by daemon.
constexpr double MaxTieBreak = 0.01;

} // namespace

bool TargetSelector::meets(const TargetRequirements &requirements, const TargetEntry &target,
                           const ResidentReplicas &residents) const
{
    if (target.service != requirements.service || target.isDraining || isEvacuated(target))
        return false;
    if (!requirements.key)
        return true;
    const auto held = residents.find(target.id);
    return held != residents.end() && held->second.contains(*requirements.key);
}

std::optional<TargetHoldOff> TargetSelector::findHoldOff(const TargetEntry &target,
                                                         TimePoint now) const
{
    const auto *holdOff = m_holdOffs.find(target, now);
    const auto coldUntil = m_coldLimits.blockedUntil(target, now);
    const bool isCold = coldUntil && (!holdOff || holdOff->until < *coldUntil);
    if (isCold)
        return TargetHoldOff { target.id, { target.startTimeMs, now, *coldUntil }, true };
    if (!holdOff)
        return std::nullopt;
    return TargetHoldOff { target.id, *holdOff };
}

bool TargetSelector::isEvacuated(const ServiceId &service,
                                 const std::map<TargetId, TargetEntry> &targets) const
{
    bool hasEvacuated = false;
    for (const auto &[id, target] : targets) {
        if (target.service != service || target.isDraining)
            continue;
        if (!isEvacuated(target))
            return false;
        hasEvacuated = true;
    }
    return hasEvacuated;
}

void TargetSelector::noteStarted(const TargetId &target, const std::optional<ReplicaKey> &key)
{
    ++m_health[target].ownInFlight;
    if (key)
        ++m_inFlight[{ target, *key }];
}

void TargetSelector::noteEnded(const TargetId &target, const std::optional<ReplicaKey> &key,
                               Duration lasted)
{
    if (const auto it = m_health.find(target); it != m_health.end() && it->second.ownInFlight > 0)
        --it->second.ownInFlight;
    if (!key)
        return;
    m_engineTime += std::chrono::duration_cast<Duration>((lasted - m_engineTime) * SmoothingFactor);
    const auto it = m_inFlight.find({ target, *key });
    if (it != m_inFlight.end() && --it->second == 0)
        m_inFlight.erase(it);
}

void TargetSelector::noteOutcome(const TargetId &target, TargetOutcome outcome, TimePoint now)
{
    auto &it = m_health[target];
    const auto update = [](double &average, bool happened) {
        average += SmoothingFactor * ((happened ? 1.0 : 0.0) - average);
    };
    if (outcome == TargetOutcome::Full) {
        it.backoffUntil = std::max(it.backoffUntil, now + BackoffWhenFull);
        return;
    }
    const bool isTransportFailure =
            outcome == TargetOutcome::Broken || outcome == TargetOutcome::Unreachable;
    update(it.brokenRate, isTransportFailure);
    update(it.failedRate, outcome == TargetOutcome::Failed);
    if (!isTransportFailure) {
        it.failuresInRow = 0;
        return;
    }
    if (outcome == TargetOutcome::Unreachable)
        it.unreachableUntil = now + UnreachableTime;
    const auto doublings = std::min<std::uint32_t>(it.failuresInRow++, 4);
    it.backoffUntil = now + std::min(InitialBackoff * (1 << doublings), MaxBackoff);
}

void TargetSelector::noteNotResident(const TargetId &target, const ReplicaKey &key, TimePoint now)
{
    m_notResidentUntil[{ target, key }] = now + NotResidentTime;
    std::erase_if(m_notResidentUntil, [&](const auto &it) { return it.second < now; });
}

void TargetSelector::subtractPeerCounts(const std::map<TargetId, std::uint32_t> &counts)
{
    for (const auto &[target, count] : counts) {
        const auto it = m_peerTotals.find(target);
        it->second -= count;
        if (it->second == 0)
            m_peerTotals.erase(it);
    }
}

void TargetSelector::notePeerCounts(const VmId &vm, std::map<TargetId, std::uint32_t> counts,
                                    TimePoint now)
{
    std::erase_if(counts, [](const auto &it) { return it.second == 0; });
    for (const auto &[target, count] : counts)
        m_peerTotals[target] += count;
    auto &peerCounts = m_peerCounts[vm];
    subtractPeerCounts(peerCounts.counts);
    peerCounts = { std::move(counts), now };
    expirePeerCounts(now);
}

void TargetSelector::expirePeerCounts(TimePoint now)
{
    std::erase_if(m_peerCounts, [&](const auto &it) {
        const bool isOld = now - it.second.at > m_peerCountsLifetime;
        if (isOld)
            subtractPeerCounts(it.second.counts);
        return isOld;
    });
}

void TargetSelector::retainOnly(const std::map<TargetId, TargetEntry> &targets)
{
    std::erase_if(m_health, [&](const auto &it) {
        return !targets.contains(it.first) && it.second.ownInFlight == 0;
    });
}

bool TargetSelector::isInBackoff(const TargetId &target, TimePoint now) const
{
    const auto it = m_health.find(target);
    return it != m_health.end() && now < it->second.backoffUntil;
}

std::uint32_t TargetSelector::load(const TargetId &target) const
{
    std::uint32_t n = 0;
    if (const auto it = m_health.find(target); it != m_health.end())
        n += it->second.ownInFlight;
    if (const auto it = m_peerTotals.find(target); it != m_peerTotals.end())
        n += it->second;
    return n;
}

double TargetSelector::costOf(const TargetEntry &target, TimePoint now) const
{
    const auto slots = static_cast<double>(std::max<std::uint32_t>(target.slots, 1));
    const auto inFlight = load(target.id);
    double cost = inFlight / slots;
    if (target.engine && inFlight >= target.slots)
        cost += FullCost;
    if (target.dataCentre != m_dataCentre)
        cost += RemoteCost;
    if (target.isCold(now))
        cost += ColdCost;
    const auto tieBreak = static_cast<double>(rendezvousScore(m_salt, target.id.value()) % 1000);
    cost += MaxTieBreak * tieBreak / 1000;
    if (const auto it = m_health.find(target.id); it != m_health.end()) {
        cost += FailureCost * (it->second.brokenRate + it->second.failedRate);
        if (now < it->second.backoffUntil)
            cost += 2 * FailureCost;
    }
    return cost;
}

bool TargetSelector::isEligible(const TargetRequirements &requirements, const TargetEntry &target,
                                const ResidentReplicas &residents, TimePoint now) const
{
    if (!meets(requirements, target, residents) || requirements.excluded.contains(target.id)
        || findHoldOff(target, now))
        return false;
    const auto health = m_health.find(target.id);
    if (health != m_health.end() && now < health->second.unreachableUntil)
        return false;
    if (!requirements.key)
        return true;
    const auto notResident = m_notResidentUntil.find({ target.id, *requirements.key });
    return notResident == m_notResidentUntil.end() || now >= notResident->second;
}

double TargetSelector::uncountedArrivals(const std::vector<const TargetEntry *> &targets) const
{
    double inFlight = 0;
    for (const auto *it : targets)
        if (const auto peers = m_peerTotals.find(it->id); peers != m_peerTotals.end())
            inFlight += peers->second;
    // Requests in flight are arrivals per second times the time that each of them takes.
    const auto parts = toSeconds(m_peerCountsDelay)
            / std::max(toSeconds(m_engineTime), toSeconds(MinEngineTime));
    return std::max(inFlight * parts, MinUncountedArrivals);
}

std::optional<TargetId> TargetSelector::choose(const TargetRequirements &requirements,
                                               const std::map<TargetId, TargetEntry> &targets,
                                               const ResidentReplicas &residents, TimePoint now)
{
    expirePeerCounts(now);
    std::vector<const TargetEntry *> eligible;
    std::vector<SpreadCandidate> candidates;
    for (const auto &[id, target] : targets) {
        if (!isEligible(requirements, target, residents, now))
            continue;
        eligible.push_back(&target);
        candidates.push_back({ costOf(target, now),
                               static_cast<double>(std::max<std::uint32_t>(target.slots, 1)) });
    }
    if (eligible.empty())
        return std::nullopt;
    if (requirements.spread == 0 || !requirements.key || m_peerTotals.empty()) {
        const auto best =
                std::min_element(candidates.begin(), candidates.end(),
                                 [](const auto &a, const auto &b) { return a.cost < b.cost; });
        return eligible[static_cast<std::size_t>(best - candidates.begin())]->id;
    }
    constexpr std::uint64_t Steps = 1000;
    const auto random = rendezvousScore(std::to_string(requirements.spread), m_salt) % Steps;
    return eligible[chooseSpread(candidates, uncountedArrivals(eligible),
                                 static_cast<double>(random) / Steps)]
            ->id;
}

std::optional<TargetHoldOff>
TargetSelector::soonestHoldOff(const TargetRequirements &requirements,
                               const std::map<TargetId, TargetEntry> &targets,
                               const ResidentReplicas &residents, TimePoint now) const
{
    std::optional<TargetHoldOff> soonest;
    for (const auto &[id, target] : targets) {
        if (!meets(requirements, target, residents))
            continue;
        auto holdOff = findHoldOff(target, now);
        if (!holdOff)
            return std::nullopt;
        if (!soonest || holdOff->holdOff.until < soonest->holdOff.until)
            soonest = std::move(holdOff);
    }
    return soonest;
}

} // namespace bluebell
