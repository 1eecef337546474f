#include "routing/targetselector.h"

#include "core/digest.h"

#include <algorithm>
#include <utility>

namespace bluebell {
namespace {

using std::chrono::milliseconds;

/// How long a target is left alone after its first broken exchange; doubles up to LongestAlone.
constexpr Duration ShortestAlone = milliseconds(300);
constexpr Duration LongestAlone = milliseconds(2000);
/// How long a target without a connection gets no request at all.
constexpr Duration UnreachableTime = milliseconds(250);
/// How long a target that is full is left alone.
constexpr Duration AloneWhenFull = milliseconds(60);
/// How long a model counts as absent after a target said so.
constexpr Duration AbsentTime = milliseconds(120);
/// Weight of the newest exchange in the averages.
constexpr double Newest = 0.15;
/// Cost of a target in another data centre, as a part of its slots.
constexpr double DistanceCost = 0.12;
/// Cost of a target that fails every request, as a part of its slots.
constexpr double FailureCost = 2.0;
/// Largest difference that the daemon's own order of equal targets makes.
constexpr double OwnOrder = 0.01;

} // namespace

void TargetSelector::noteStarted(const TargetId &target, const std::optional<ReplicaKey> &key)
{
    ++m_standing[target].own;
    if (key)
        ++m_inFlight[{ target, *key }];
}

void TargetSelector::noteEnded(const TargetId &target, const std::optional<ReplicaKey> &key)
{
    if (const auto it = m_standing.find(target); it != m_standing.end() && it->second.own > 0)
        --it->second.own;
    if (!key)
        return;
    const auto it = m_inFlight.find({ target, *key });
    if (it != m_inFlight.end() && --it->second == 0)
        m_inFlight.erase(it);
}

void TargetSelector::noteSignal(const TargetId &target, TargetSignal signal, TimePoint now)
{
    auto &it = m_standing[target];
    const auto mix = [](double &average, bool happened) {
        average += Newest * ((happened ? 1.0 : 0.0) - average);
    };
    if (signal == TargetSignal::Full) {
        it.leftAloneUntil = std::max(it.leftAloneUntil, now + AloneWhenFull);
        return;
    }
    const bool isBroken = signal == TargetSignal::Broken || signal == TargetSignal::Unreachable;
    mix(it.broken, isBroken);
    mix(it.failed, signal == TargetSignal::Failed);
    if (!isBroken) {
        it.failuresInRow = 0;
        return;
    }
    if (signal == TargetSignal::Unreachable)
        it.unreachableUntil = now + UnreachableTime;
    const auto doublings = std::min<std::uint32_t>(it.failuresInRow++, 4);
    it.leftAloneUntil = now + std::min(ShortestAlone * (1 << doublings), LongestAlone);
}

void TargetSelector::noteAbsent(const TargetId &target, const ReplicaKey &key, TimePoint now)
{
    m_absentUntil[{ target, key }] = now + AbsentTime;
    std::erase_if(m_absentUntil, [&](const auto &it) { return it.second < now; });
}

void TargetSelector::takeOut(const std::map<TargetId, std::uint32_t> &counts)
{
    for (const auto &[target, count] : counts) {
        const auto it = m_othersSum.find(target);
        it->second -= count;
        if (it->second == 0)
            m_othersSum.erase(it);
    }
}

void TargetSelector::noteOthers(const VmId &vm, std::map<TargetId, std::uint32_t> counts,
                                TimePoint now)
{
    std::erase_if(counts, [](const auto &it) { return it.second == 0; });
    for (const auto &[target, count] : counts)
        m_othersSum[target] += count;
    auto &others = m_others[vm];
    takeOut(others.counts);
    others = { std::move(counts), now };
    forgetSilent(now);
}

void TargetSelector::forgetSilent(TimePoint now)
{
    std::erase_if(m_others, [&](const auto &it) {
        const bool isOld = now - it.second.at > m_othersLifetime;
        if (isOld)
            takeOut(it.second.counts);
        return isOld;
    });
}

void TargetSelector::forgetAllBut(const std::map<TargetId, TargetEntry> &targets)
{
    std::erase_if(m_standing, [&](const auto &it) {
        return !targets.contains(it.first) && it.second.own == 0;
    });
}

std::uint32_t TargetSelector::load(const TargetId &target) const
{
    std::uint32_t n = 0;
    if (const auto it = m_standing.find(target); it != m_standing.end())
        n += it->second.own;
    if (const auto it = m_othersSum.find(target); it != m_othersSum.end())
        n += it->second;
    return n;
}

double TargetSelector::score(const TargetEntry &target, TimePoint now) const
{
    const auto slots = static_cast<double>(std::max<std::uint32_t>(target.slots, 1));
    double cost = load(target.id) / slots;
    if (target.dataCentre != m_own)
        cost += DistanceCost;
    const auto place = static_cast<double>(rendezvousScore(m_salt, target.id.value()) % 1000);
    cost += OwnOrder * place / 1000;
    if (const auto it = m_standing.find(target.id); it != m_standing.end()) {
        cost += FailureCost * (it->second.broken + it->second.failed);
        if (now < it->second.leftAloneUntil)
            cost += 2 * FailureCost;
    }
    return cost;
}

std::optional<TargetId> TargetSelector::choose(const TargetNeed &need,
                                               const std::map<TargetId, TargetEntry> &targets,
                                               const Residents &residents, TimePoint now)
{
    forgetSilent(now);
    std::optional<TargetId> best;
    double bestScore = 0;
    for (const auto &[id, target] : targets) {
        if (target.service != need.service || target.isDraining || need.excluded.contains(id))
            continue;
        const auto standing = m_standing.find(id);
        if (standing != m_standing.end() && now < standing->second.unreachableUntil)
            continue;
        if (need.key) {
            const auto held = residents.find(id);
            if (held == residents.end() || !held->second.contains(*need.key))
                continue;
            const auto absent = m_absentUntil.find({ id, *need.key });
            if (absent != m_absentUntil.end() && now < absent->second)
                continue;
        }
        const auto cost = score(target, now);
        if (best && cost >= bestScore)
            continue;
        best = id;
        bestScore = cost;
    }
    return best;
}

} // namespace bluebell
