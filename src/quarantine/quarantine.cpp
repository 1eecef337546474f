#include "quarantine/quarantine.h"

#include "core/digest.h"

#include <algorithm>
#include <utility>

namespace bluebell {
namespace {

std::uint64_t hashOf(const PromptPartId &part, std::uint64_t generation, bool isLifted)
{
    return stableHash(part.value() + '|' + std::to_string(generation) + (isLifted ? "|l" : "|q"));
}

} // namespace

Duration Quarantine::trialInterval(const PromptPartId &part, const Verdict &verdict) const
{
    const bool isUnproven = !verdict.isProven && !hasEvidence(part);
    if (isUnproven && verdict.failedTrials == 0)
        return UnprovenTrialDelay;
    constexpr std::uint32_t MaxDoublings = 6;
    const auto doublings = std::min(verdict.failedTrials, MaxDoublings);
    return std::min<Duration>(TrialInterval * (1U << doublings), MaxTrialInterval);
}

QuarantineVerdict Quarantine::toMessage(const PromptPartId &part, const Verdict &verdict,
                                        TimePoint now)
{
    return { part, verdict.generation, verdict.isLifted, verdict.failedTrials,
             now - verdict.since };
}

void Quarantine::noteCrash(const CrashedAttempt &attempt, const std::vector<PromptPartId> &parts,
                           TimePoint now)
{
    if (m_evidence.noteCrash(attempt, parts, now))
        noteNews(attempt.run, now);
    for (const auto &part : parts)
        noteFailedTrial(part, now);
}

void Quarantine::noteFailedTrial(const PromptPartId &part, TimePoint now)
{
    const auto it = m_verdicts.find(part);
    if (it == m_verdicts.end() || !it->second.trialStartedAt)
        return;
    auto renewed = toMessage(part, it->second, now);
    ++renewed.generation;
    ++renewed.failedTrials;
    renewed.age = Duration::zero();
    it->second.trialStartedAt.reset();
    if (merge(renewed, now))
        m_verdictsUntil = now + RepeatTime;
}

void Quarantine::noteSurvival(const std::vector<PromptPartId> &parts, TimePoint beganAt,
                              TimePoint now)
{
    if (m_evidence.isEmpty() && m_quarantined.empty())
        return;
    for (const auto &part : parts) {
        const auto verdict = m_verdicts.find(part);
        if (m_quarantined.contains(part) && beganAt > verdict->second.since)
            lift(part, now);
    }
    for (const auto &run : m_evidence.noteSurvival(parts, beganAt))
        noteNews(run, now);
}

void Quarantine::noteSignOfLife(const TargetRun &run, TimePoint sentAt, TimePoint now)
{
    if (m_evidence.noteSignOfLife(run, sentAt))
        noteNews(run, now);
}

void Quarantine::lift(const PromptPartId &part, TimePoint now)
{
    auto lifted = toMessage(part, m_verdicts.at(part), now);
    lifted.isLifted = true;
    lifted.age = Duration::zero();
    if (merge(lifted, now))
        m_verdictsUntil = now + RepeatTime;
}

void Quarantine::liftRefuted(TimePoint now)
{
    const auto quarantined = m_quarantined;
    for (const auto &part : quarantined)
        if (m_evidence.clearedCount(part) >= MinSuspicion.crashes
            && !m_evidence.suspicion(part, {}).reaches(MinSuspicion))
            lift(part, now);
}

void Quarantine::convict(const PromptPartId &part, TimePoint now)
{
    QuarantineVerdict verdict { part, 1, false, 0, {} };
    if (const auto it = m_verdicts.find(part); it != m_verdicts.end())
        verdict.generation = it->second.generation + 1;
    verdict.age = now - m_evidence.latestCrash(part).value_or(now);
    if (merge(verdict, now))
        m_verdictsUntil = now + RepeatTime;
}

bool Quarantine::merge(const QuarantineVerdict &verdict, TimePoint now)
{
    const auto rankOf = [](const auto &it) {
        return std::pair(it.generation, it.isLifted);
    };
    const auto [it, isNew] = m_verdicts.try_emplace(verdict.part);
    auto &known = it->second;
    if (!isNew && rankOf(verdict) <= rankOf(known))
        return false;
    if (!isNew)
        m_checksum ^= hashOf(verdict.part, known.generation, known.isLifted);
    m_checksum ^= hashOf(verdict.part, verdict.generation, verdict.isLifted);
    known = { verdict.generation,
              verdict.isLifted,
              verdict.failedTrials,
              now - verdict.age,
              now,
              hasEvidence(verdict.part),
              {} };
    noteVerdict(verdict.part, now);
    return true;
}

void Quarantine::noteVerdict(const PromptPartId &part, TimePoint now)
{
    m_changed.insert(part);
    m_candidates.erase(part);
    if (m_isRelay)
        m_verdictsUntil = now + RepeatTime;
    if (m_verdicts.at(part).isLifted) {
        m_quarantined.erase(part);
        m_evidence.clear(part);
    } else {
        m_quarantined.insert(part);
    }
    boundVerdicts();
}

void Quarantine::boundVerdicts()
{
    while (m_verdicts.size() > MaxVerdicts) {
        const auto rankOf = [](const auto &it) {
            return std::pair(!it.second.isLifted, it.second.since);
        };
        const auto it = std::min_element(
                m_verdicts.begin(), m_verdicts.end(),
                [&](const auto &a, const auto &b) { return rankOf(a) < rankOf(b); });
        m_checksum ^= hashOf(it->first, it->second.generation, it->second.isLifted);
        m_quarantined.erase(it->first);
        m_verdicts.erase(it);
    }
}

bool Quarantine::merge(const QuarantineUpdate &update, TimePoint now)
{
    bool hasChanged = false;
    for (const auto &it : update.verdicts)
        hasChanged = merge(it, now) || hasChanged;
    for (const auto &it : update.crashes) {
        if (!m_evidence.merge(it, now))
            continue;
        hasChanged = true;
        if (m_isRelay)
            noteNews(it.run, now);
    }
    noteProven();
    // The sender lacks a verdict of this daemon, or this one lacks one of the sender.
    if (update.checksum != 0 && update.checksum != m_checksum) {
        m_verdictsUntil = now + RepeatTime;
        repeatEvidence(now);
    }
    return hasChanged;
}

void Quarantine::repeatEvidence(TimePoint now)
{
    for (const auto &part : m_quarantined)
        for (const auto &run : m_evidence.runsOf(part))
            noteNews(run, now);
}

void Quarantine::noteProven()
{
    for (const auto &part : m_quarantined)
        if (hasEvidence(part))
            m_verdicts.at(part).isProven = true;
}

bool Quarantine::lacksEvidence(TimePoint now) const
{
    return std::any_of(m_quarantined.begin(), m_quarantined.end(), [&](const auto &part) {
        const auto &verdict = m_verdicts.at(part);
        return !verdict.isProven && !hasEvidence(part)
                && now - verdict.knownSince < CrashEvidence::RecordLifetime;
    });
}

void Quarantine::update(TimePoint now)
{
    m_evidence.expire(now);
    std::erase_if(m_newsUntil, [&](const auto &it) { return it.second < now; });
    liftRefuted(now);
    const auto suspects = m_evidence.suspects(MinSuspicion, m_quarantined);
    std::erase_if(m_candidates, [&](const auto &it) {
        return std::find(suspects.begin(), suspects.end(), it.first) == suspects.end();
    });
    for (const auto &part : suspects)
        m_candidates.try_emplace(part, now);
    // Only the most likely one: its crashes may explain those of the others.
    if (!suspects.empty() && now - m_candidates.at(suspects.front()) >= SettleTime)
        convict(suspects.front(), now);
}

bool Quarantine::startTrial(const PromptPartId &part, TimePoint now)
{
    const auto it = m_verdicts.find(part);
    if (it == m_verdicts.end() || it->second.isLifted)
        return true;
    auto &verdict = it->second;
    const bool isRunning = verdict.trialStartedAt && now - *verdict.trialStartedAt < TrialTimeout;
    if (isRunning || now - verdict.since < trialInterval(part, verdict))
        return false;
    verdict.trialStartedAt = now;
    return true;
}

bool Quarantine::mayBeSound(const PromptPartId &part, const std::vector<PromptPartId> &parts) const
{
    // The first trial may have met another deadly part.
    const bool hasFailedAgain = m_verdicts.at(part).failedTrials > 1;
    return m_evidence.isExplainedWithout(part, parts, hasFailedAgain ? 1 : MaxCauses);
}

bool Quarantine::concerns(const PromptPartId &quarantined,
                          const std::vector<PromptPartId> &parts) const
{
    return std::any_of(parts.begin(), parts.end(), [&](const auto &it) {
        return it == quarantined || m_evidence.explainsAllOf(it, quarantined);
    });
}

bool Quarantine::needsTrial(const std::vector<PromptPartId> &parts) const
{
    return std::any_of(m_quarantined.begin(), m_quarantined.end(),
                       [&](const auto &it) { return concerns(it, parts); });
}

bool Quarantine::mayStartTrialOf(const std::vector<PromptPartId> &parts, const TrialTurn &turn,
                                 TimePoint now) const
{
    std::optional<TimePoint> latest;
    for (const auto &part : m_quarantined) {
        if (!concerns(part, parts))
            continue;
        const auto &verdict = m_verdicts.at(part);
        const bool isRunning =
                verdict.trialStartedAt && now - *verdict.trialStartedAt < TrialTurnTime;
        if (isRunning || now - verdict.knownSince < SoundTrialDelay)
            return false;
        latest = std::max(latest, std::optional(verdict.since));
    }
    return !latest || isTurn(turn, now - *latest);
}

bool Quarantine::isTurn(const TrialTurn &turn, Duration age)
{
    const auto inRound = age % (TrialTurnTime * static_cast<int>(turn.daemons));
    const auto inTurn = inRound - TrialTurnTime * static_cast<int>(turn.rank);
    return inTurn >= Duration::zero() && inTurn < TrialTurnTime / 2;
}

bool Quarantine::startTrialOf(const std::vector<PromptPartId> &parts, const TrialTurn &turn,
                              TimePoint now)
{
    if (!mayStartTrialOf(parts, turn, now))
        return false;
    for (const auto &part : m_quarantined)
        if (concerns(part, parts))
            m_verdicts.at(part).trialStartedAt = now;
    return true;
}

std::optional<QuarantinedPart> Quarantine::find(const std::vector<PromptPartId> &parts,
                                                TimePoint now) const
{
    if (m_quarantined.empty())
        return std::nullopt;
    std::optional<QuarantinedPart> found;
    for (const auto &part : parts) {
        if (!m_quarantined.contains(part))
            continue;
        auto it = describe(part, now);
        it.mayBeSound = mayBeSound(part, parts);
        if (!it.mayBeSound)
            return it;
        if (!found)
            found = std::move(it);
    }
    return found;
}

QuarantinedPart Quarantine::describe(const PromptPartId &part, TimePoint now) const
{
    const auto &verdict = m_verdicts.at(part);
    if (const auto left = verdict.knownSince + ProvisionalTime - now; left > Duration::zero())
        return { part, left, true, false };
    const auto trialLeft = verdict.since + trialInterval(part, verdict) - now;
    return { part, std::max<Duration>(trialLeft, TrialTimeout), false, false };
}

bool Quarantine::forbidsRetry(const std::vector<PromptPartId> &parts) const
{
    return std::any_of(parts.begin(), parts.end(), [&](const auto &it) {
        return m_quarantined.contains(it)
                || m_evidence.suspicion(it, m_quarantined).reaches(MinSuspicionAgainstRetry);
    });
}

bool Quarantine::hasNews(TimePoint now) const
{
    return now < m_verdictsUntil
            || std::any_of(m_newsUntil.begin(), m_newsUntil.end(),
                           [&](const auto &it) { return now < it.second; });
}

QuarantineUpdate Quarantine::message(TimePoint now) const
{
    QuarantineUpdate it;
    // Another value than theirs makes the others repeat what they know.
    it.checksum = lacksEvidence(now) ? ~m_checksum : m_checksum;
    if (now < m_verdictsUntil)
        it.verdicts = verdicts(now);
    std::vector<std::pair<TimePoint, TargetRun>> news;
    for (const auto &[run, until] : m_newsUntil)
        if (now < until)
            news.emplace_back(until, run);
    std::sort(news.rbegin(), news.rend());
    std::size_t suspects = 0;
    for (const auto &[until, run] : news) {
        auto report = m_evidence.report(run, now);
        if (!report)
            continue;
        suspects += report->suspects.size();
        if (suspects > MaxSuspectsPerMessage)
            break;
        it.crashes.push_back(std::move(*report));
    }
    return it;
}

std::vector<QuarantineVerdict> Quarantine::verdicts(TimePoint now) const
{
    std::vector<QuarantineVerdict> all;
    for (const auto &[part, verdict] : m_verdicts)
        all.push_back(toMessage(part, verdict, now));
    return all;
}

std::vector<QuarantineVerdict> Quarantine::takeChanges(TimePoint now)
{
    std::vector<QuarantineVerdict> changes;
    for (const auto &part : std::exchange(m_changed, {}))
        if (const auto it = m_verdicts.find(part); it != m_verdicts.end())
            changes.push_back(toMessage(part, it->second, now));
    return changes;
}

} // namespace bluebell
