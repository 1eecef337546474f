#include "quarantine/crashevidence.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bluebell {

std::uint32_t weightOf(ResponseStage stage) noexcept
{
    switch (stage) {
    case ResponseStage::Begun:
        return 10;
    case ResponseStage::Awaited:
        return 20;
    case ResponseStage::Starting:
        break;
    }
    return 40;
}

bool CrashEvidence::addSuspect(const TargetRun &run, EndedRun &ended, const SuspectPart &suspect)
{
    const auto it = ended.suspects.find(suspect.part);
    if (it != ended.suspects.end()) {
        const bool isStronger = suspect.stage > it->second.stage;
        it->second.stage = std::max(it->second.stage, suspect.stage);
        it->second.sentAt = std::max(it->second.sentAt, ended.endedAt - suspect.sentBefore);
        const bool isCleared = suspect.isCleared && clear(run, suspect.part);
        return isStronger || isCleared;
    }
    if (ended.suspects.size() >= MaxSuspectsPerRun)
        return false;
    ended.suspects.emplace(suspect.part,
                           Suspect { suspect.stage, suspect.depth, suspect.isCleared,
                                     ended.endedAt - suspect.sentBefore });
    if (!suspect.isCleared) {
        auto &record = m_parts[suspect.part];
        record.runs.insert(run);
        record.depth = std::max(record.depth, suspect.depth);
    }
    return true;
}

bool CrashEvidence::noteCrash(const CrashedAttempt &attempt, const std::vector<PromptPartId> &parts,
                              TimePoint now)
{
    CrashReport report { attempt.run, Duration::zero(), {} };
    for (std::uint32_t n = 0; n < parts.size(); ++n)
        report.suspects.push_back({ parts[n], attempt.stage, n, now - attempt.sentAt, false });
    return merge(report, now);
}

bool CrashEvidence::merge(const CrashReport &report, TimePoint now)
{
    if (report.age > RecordLifetime || report.suspects.empty())
        return false;
    const auto endedAt = now - report.age;
    const auto [it, isNew] = m_runs.try_emplace(report.run, EndedRun { endedAt, {} });
    auto &ended = it->second;
    // A report that was late shows a later time.
    ended.endedAt = std::min(ended.endedAt, endedAt);
    bool hasChanged = isNew;
    for (const auto &suspect : report.suspects)
        hasChanged = addSuspect(report.run, ended, suspect) || hasChanged;
    boundRuns();
    return hasChanged;
}

void CrashEvidence::unlink(const TargetRun &run, const PromptPartId &part)
{
    const auto it = m_parts.find(part);
    if (it == m_parts.end())
        return;
    it->second.runs.erase(run);
    if (it->second.runs.empty())
        m_parts.erase(it);
}

bool CrashEvidence::clear(const TargetRun &run, const PromptPartId &part)
{
    const auto ended = m_runs.find(run);
    if (ended == m_runs.end())
        return false;
    const auto it = ended->second.suspects.find(part);
    if (it == ended->second.suspects.end() || std::exchange(it->second.isCleared, true))
        return false;
    unlink(run, part);
    return true;
}

std::vector<TargetRun> CrashEvidence::noteSurvival(const std::vector<PromptPartId> &parts,
                                                   TimePoint beganAt)
{
    std::vector<TargetRun> changed;
    for (const auto &part : parts) {
        const auto record = m_parts.find(part);
        if (record == m_parts.end())
            continue;
        const auto runs = record->second.runs;
        for (const auto &run : runs)
            if (m_runs.at(run).endedAt < beganAt && clear(run, part))
                changed.push_back(run);
    }
    return changed;
}

bool CrashEvidence::noteSignOfLife(const TargetRun &run, TimePoint sentAt)
{
    const auto it = m_runs.find(run);
    if (it == m_runs.end() || sentAt <= it->second.endedAt
        || sentAt - it->second.endedAt > SignOfLifeTime)
        return false;
    bool hasChanged = false;
    for (const auto &[part, suspect] : it->second.suspects)
        hasChanged = clear(run, part) || hasChanged;
    return hasChanged;
}

void CrashEvidence::clear(const PromptPartId &part)
{
    const auto record = m_parts.find(part);
    if (record == m_parts.end())
        return;
    const auto runs = record->second.runs;
    for (const auto &run : runs)
        clear(run, part);
}

void CrashEvidence::noteArrival(const std::vector<PromptPartId> &parts)
{
    for (const auto &part : parts)
        if (const auto it = m_parts.find(part); it != m_parts.end())
            ++it->second.arrivals;
}

void CrashEvidence::forget(const TargetRun &run)
{
    const auto it = m_runs.find(run);
    for (const auto &[part, suspect] : it->second.suspects)
        unlink(run, part);
    m_runs.erase(it);
}

void CrashEvidence::boundRuns()
{
    while (m_runs.size() > MaxRuns)
        forget(std::min_element(m_runs.begin(), m_runs.end(), [](const auto &a, const auto &b) {
                   return a.second.endedAt < b.second.endedAt;
               })->first);
}

void CrashEvidence::expire(TimePoint now)
{
    std::vector<TargetRun> old;
    for (const auto &[run, ended] : m_runs)
        if (now - ended.endedAt > RecordLifetime)
            old.push_back(run);
    for (const auto &run : old)
        forget(run);
}

std::optional<CrashReport> CrashEvidence::report(const TargetRun &run, TimePoint now) const
{
    const auto it = m_runs.find(run);
    if (it == m_runs.end())
        return std::nullopt;
    CrashReport report { run, now - it->second.endedAt, {} };
    for (const auto &[part, suspect] : it->second.suspects)
        report.suspects.push_back({ part, suspect.stage, suspect.depth,
                                    it->second.endedAt - suspect.sentAt, suspect.isCleared });
    return report;
}

std::set<PromptPartId> CrashEvidence::explaining(const PromptPartId &part,
                                                 const std::set<PromptPartId> &quarantined) const
{
    std::set<PromptPartId> parts;
    for (const auto &other : quarantined) {
        const bool explainsLess =
                explainsAllOf(part, other) && runsOf(part).size() > runsOf(other).size();
        if (other != part && !explainsLess)
            parts.insert(other);
    }
    return parts;
}

bool CrashEvidence::isExplained(const EndedRun &ended, const std::set<PromptPartId> &explaining)
{
    return std::any_of(ended.suspects.begin(), ended.suspects.end(), [&](const auto &it) {
        return !it.second.isCleared && explaining.contains(it.first);
    });
}

bool CrashEvidence::isExplainedWithout(const PromptPartId &part,
                                       const std::vector<PromptPartId> &parts,
                                       std::size_t maxCauses) const
{
    const auto runs = runsOf(part);
    return !runs.empty()
            && areExplained(runs, std::set<PromptPartId>(parts.begin(), parts.end()), maxCauses);
}

bool CrashEvidence::areExplained(const std::set<TargetRun> &runs,
                                 const std::set<PromptPartId> &excluded,
                                 std::size_t maxCauses) const
{
    if (runs.empty() || maxCauses == 0)
        return runs.empty();
    for (const auto &[part, suspect] : m_runs.at(*runs.begin()).suspects) {
        if (suspect.isCleared || excluded.contains(part))
            continue;
        const auto explained = runsOf(part);
        std::set<TargetRun> rest;
        std::set_difference(runs.begin(), runs.end(), explained.begin(), explained.end(),
                            std::inserter(rest, rest.end()));
        if (areExplained(rest, excluded, maxCauses - 1))
            return true;
    }
    return false;
}

bool CrashEvidence::explainsAllOf(const PromptPartId &part, const PromptPartId &other) const
{
    const auto own = runsOf(part);
    const auto runs = runsOf(other);
    return !runs.empty() && std::includes(own.begin(), own.end(), runs.begin(), runs.end());
}

std::set<TargetRun> CrashEvidence::runsOf(const PromptPartId &part) const
{
    const auto record = m_parts.find(part);
    return record == m_parts.end() ? std::set<TargetRun>() : record->second.runs;
}

std::size_t CrashEvidence::clearedCount(const PromptPartId &part) const
{
    return static_cast<std::size_t>(std::count_if(m_runs.begin(), m_runs.end(), [&](auto &it) {
        const auto &suspects = it.second.suspects;
        const auto suspect = suspects.find(part);
        return suspect != suspects.end() && suspect->second.isCleared;
    }));
}

std::vector<const CrashEvidence::EndedRun *>
CrashEvidence::unexplainedEnds(const PromptPartId &part,
                               const std::set<PromptPartId> &quarantined) const
{
    std::vector<const EndedRun *> ends;
    const auto others = explaining(part, quarantined);
    for (const auto &run : runsOf(part))
        if (const auto &ended = m_runs.at(run); !isExplained(ended, others))
            ends.push_back(&ended);
    std::sort(ends.begin(), ends.end(),
              [](const auto *a, const auto *b) { return a->endedAt < b->endedAt; });
    return ends;
}

Suspicion CrashEvidence::suspicion(const PromptPartId &part,
                                   const std::set<PromptPartId> &quarantined) const
{
    Suspicion suspicion;
    const auto ends = unexplainedEnds(part, quarantined);
    for (auto from = ends.begin(); from != ends.end();) {
        const auto to = std::find_if(std::next(from), ends.end(), [&](const auto *it) {
            // A request that was sent after the first of these ends had no part in it.
            return it->endedAt - (*from)->endedAt >= CommonCauseTime
                    || it->suspects.at(part).sentAt > (*from)->endedAt;
        });
        std::uint32_t weight = 0;
        for (auto it = from; it != to; ++it)
            weight = std::max(weight, weightOf((*it)->suspects.at(part).stage));
        const auto suspected = static_cast<std::size_t>(to - from);
        const auto together = suspected + otherRunsEndedAround((*from)->endedAt, part);
        suspicion.weight += static_cast<std::uint32_t>(weight * suspected / together);
        ++suspicion.crashes;
        from = to;
    }
    return suspicion;
}

std::size_t CrashEvidence::otherRunsEndedAround(TimePoint time, const PromptPartId &part) const
{
    std::size_t n = 0;
    for (const auto &[run, ended] : m_runs) {
        const auto &suspects = ended.suspects;
        const auto itsOwn = suspects.find(part);
        const bool isSuspected = itsOwn != suspects.end() && !itsOwn->second.isCleared;
        const bool hasEnded = std::any_of(suspects.begin(), suspects.end(),
                                          [](const auto &it) { return !it.second.isCleared; });
        if (!isSuspected && hasEnded && std::chrono::abs(ended.endedAt - time) < CommonCauseTime)
            ++n;
    }
    return n;
}

std::vector<PromptPartId> CrashEvidence::suspects(const Suspicion &minimum,
                                                  const std::set<PromptPartId> &quarantined) const
{
    struct Ranked
    {
        PromptPartId part;
        Suspicion suspicion;
        const PartRecord *record = nullptr;
    };
    std::vector<Ranked> ranked;
    for (const auto &[part, record] : m_parts)
        if (!quarantined.contains(part) && record.runs.size() >= minimum.crashes)
            if (const auto it = suspicion(part, quarantined); it.reaches(minimum))
                ranked.push_back({ part, it, &record });
    // Of parts that occur together, the rarer and the deeper one explains the crashes better.
    std::sort(ranked.begin(), ranked.end(), [](const Ranked &a, const Ranked &b) {
        if (a.suspicion.weight != b.suspicion.weight)
            return a.suspicion.weight > b.suspicion.weight;
        if (a.record->arrivals != b.record->arrivals)
            return a.record->arrivals < b.record->arrivals;
        return a.record->depth > b.record->depth;
    });
    std::vector<PromptPartId> parts;
    parts.reserve(ranked.size());
    for (auto &it : ranked)
        parts.push_back(std::move(it.part));
    return parts;
}

std::optional<TimePoint> CrashEvidence::latestCrash(const PromptPartId &part) const
{
    const auto record = m_parts.find(part);
    if (record == m_parts.end())
        return std::nullopt;
    std::optional<TimePoint> latest;
    for (const auto &run : record->second.runs)
        latest = std::max(latest, std::optional(m_runs.at(run).endedAt));
    return latest;
}

} // namespace bluebell
