#pragma once

#include "quarantine/crashreport.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

/// \file
/// Evidence on which prompt parts crash targets.

namespace bluebell {

/// How strongly a prompt part is suspected.
struct Suspicion
{
    /// Crashes that no part in quarantine explains.
    std::size_t crashes = 0;
    /// Sum over these crashes of weightOf() the response's stage, times the share of the targets
    /// that ended together of which the part is suspected.
    std::uint32_t weight = 0;

    [[nodiscard]] bool reaches(const Suspicion &minimum) const noexcept
    {
        return crashes >= minimum.crashes && weight >= minimum.weight;
    }
};

/// \returns the weight of the evidence that a crash gives
[[nodiscard]] std::uint32_t weightOf(ResponseStage stage) noexcept;

/// Collects the ends of runs of targets, with the prompt parts that may have caused them.
///
/// A part that crashes every target is a suspect in all of its crashes and is never cleared. Parts
/// that many sound requests share are suspects as well, but are cleared soon by responses that
/// begin after the crash and go on. Targets that end almost at the same moment have a common cause
/// more often than not, so they count as one crash, of which a part is suspected as much as its
/// share of these targets. If a request was sent to the later target after the earlier one had
/// ended, they are two.
class CrashEvidence
{
public:
    /// Time after which the end of a run is forgotten.
    static constexpr Duration RecordLifetime = std::chrono::minutes(10);
    /// Runs that end within this time count as one crash.
    static constexpr Duration CommonCauseTime = std::chrono::milliseconds(50);
    /// Signs of life of a run count against its end only this long after it: a target may start
    /// again under the same id and address, and its entry may not show that yet.
    static constexpr Duration SignOfLifeTime = std::chrono::seconds(1);
    /// The oldest runs are forgotten above this number.
    static constexpr std::size_t MaxRuns = 256;
    /// Further suspects of one run are left out.
    static constexpr std::size_t MaxSuspectsPerRun = 256;

    // Events.

    /// Notes that a run has ended before the response to a request with these parts had gone on.
    ///
    /// \returns whether this was not known
    bool noteCrash(const CrashedAttempt &attempt, const std::vector<PromptPartId> &parts,
                   TimePoint now);
    /// Notes a response that began at `beganAt` and went on. It clears the request's parts of
    /// crashes before.
    ///
    /// \returns the runs of whose end a part has been cleared
    std::vector<TargetRun> noteSurvival(const std::vector<PromptPartId> &parts, TimePoint beganAt);
    /// Notes that a run has responded to an attempt that was sent at `sentAt`.
    ///
    /// \returns whether the run had been taken for ended
    bool noteSignOfLife(const TargetRun &run, TimePoint sentAt);
    /// Clears a part of all crashes so far.
    void clear(const PromptPartId &part);
    /// Counts a request, to tell parts that are common from rare ones.
    void noteArrival(const std::vector<PromptPartId> &parts);
    /// Applies another daemon's report.
    ///
    /// \returns whether anything in it was not known
    bool merge(const CrashReport &report, TimePoint now);
    /// Forgets runs that ended too long ago.
    void expire(TimePoint now);

    // Queries.

    /// \returns the end of the run and its suspects, or nothing if the run is not known to have
    /// ended
    [[nodiscard]] std::optional<CrashReport> report(const TargetRun &run, TimePoint now) const;
    /// \returns how strongly a part is suspected
    ///
    /// \param quarantined parts whose crashes need no other explanation, unless `part` is suspected
    /// of all of them and of more
    [[nodiscard]] Suspicion suspicion(const PromptPartId &part,
                                      const std::set<PromptPartId> &quarantined) const;
    /// \returns the parts that are suspected at least as strongly as `minimum`, the most likely
    /// cause first
    [[nodiscard]] std::vector<PromptPartId>
    suspects(const Suspicion &minimum, const std::set<PromptPartId> &quarantined) const;
    /// \returns whether parts that a request doesn't contain explain all crashes of which `part` is
    /// suspected, if any
    ///
    /// \param parts the request's parts
    /// \param maxCauses how many other parts may explain them together
    [[nodiscard]] bool isExplainedWithout(const PromptPartId &part,
                                          const std::vector<PromptPartId> &parts,
                                          std::size_t maxCauses) const;
    /// \returns whether a part is suspected of all crashes of which `other` is suspected, if any
    [[nodiscard]] bool explainsAllOf(const PromptPartId &part, const PromptPartId &other) const;
    /// \returns the runs of whose end a part is suspected
    [[nodiscard]] std::set<TargetRun> runsOf(const PromptPartId &part) const;
    /// \returns the number of runs of whose end a part was suspected until it was cleared
    [[nodiscard]] std::size_t clearedCount(const PromptPartId &part) const;
    /// \returns when the latest run ended of whose end the part is suspected
    [[nodiscard]] std::optional<TimePoint> latestCrash(const PromptPartId &part) const;
    [[nodiscard]] bool isEmpty() const noexcept { return m_runs.empty(); }

private:
    struct Suspect
    {
        ResponseStage stage = ResponseStage::Awaited;
        std::uint32_t depth = 0;
        bool isCleared = false;
        /// When the latest request with the part was sent.
        TimePoint sentAt;
    };
    struct EndedRun
    {
        TimePoint endedAt;
        std::map<PromptPartId, Suspect> suspects;
    };
    /// What is known of a part that is a suspect of some run.
    struct PartRecord
    {
        std::set<TargetRun> runs;
        std::uint64_t arrivals = 0;
        std::uint32_t depth = 0;
    };

    /// \returns the ends of runs of which a part is suspected, the earliest first, apart from those
    /// that a part in quarantine explains
    [[nodiscard]] std::vector<const EndedRun *>
    unexplainedEnds(const PromptPartId &part, const std::set<PromptPartId> &quarantined) const;
    /// \returns the number of runs that ended within CommonCauseTime of `time` and of whose end
    /// other parts are suspected, but not this one
    [[nodiscard]] std::size_t otherRunsEndedAround(TimePoint time, const PromptPartId &part) const;
    bool addSuspect(const TargetRun &run, EndedRun &ended, const SuspectPart &suspect);
    bool clear(const TargetRun &run, const PromptPartId &part);
    /// Removes a run from the record of a part, which ends with its last run.
    void unlink(const TargetRun &run, const PromptPartId &part);
    void forget(const TargetRun &run);
    void boundRuns();
    /// \returns the parts in quarantine whose crashes need no explanation by `part`
    [[nodiscard]] std::set<PromptPartId>
    explaining(const PromptPartId &part, const std::set<PromptPartId> &quarantined) const;
    /// \returns whether one of these parts is a suspect of the run's end
    [[nodiscard]] static bool isExplained(const EndedRun &ended,
                                          const std::set<PromptPartId> &explaining);

    /// \returns whether at most `maxCauses` parts, none of them in `excluded`, explain the ends of
    /// these runs
    [[nodiscard]] bool areExplained(const std::set<TargetRun> &runs,
                                    const std::set<PromptPartId> &excluded,
                                    std::size_t maxCauses) const;

    std::map<TargetRun, EndedRun> m_runs;
    /// Parts that are suspected of the end of at least one run.
    std::map<PromptPartId, PartRecord> m_parts;
};

} // namespace bluebell
