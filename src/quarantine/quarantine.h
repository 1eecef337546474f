#pragma once

#include "quarantine/crashevidence.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

/// \file
/// Decides which prompt parts are refused because they crash targets.

namespace bluebell {

/// A prompt part that is in quarantine.
struct QuarantinedPart
{
    PromptPartId part;
    /// Time after which the part may be tried again, or the quarantine is no longer provisional.
    Duration retryAfter {};
    /// Whether the quarantine is so new that it may soon be lifted.
    bool isProvisional = false;
};

/// Puts prompt parts that crash targets into quarantine, and exchanges evidence and verdicts with
/// the other daemons of the fleet.
///
/// Every daemon decides by the evidence that it knows and adopts the verdicts of others. A
/// quarantine ends when a response to a request with the part goes on after all, be it one that was
/// running or a trial: after a long time, the leader lets one request through. If that crashes its
/// target as well, the next trial is due after twice the time.
class Quarantine
{
public:
    /// Suspicion that puts a part into quarantine.
    static constexpr Suspicion MinSuspicion { 3, 100 };
    /// Suspicion of a part with which a request isn't sent again.
    static constexpr Suspicion MinSuspicionAgainstRetry { 2, 60 };
    /// Evidence in a part's favour that is on its way to this daemon has this time to arrive.
    static constexpr Duration SettleTime = std::chrono::milliseconds(200);
    /// A response that goes on for this time after its first event has not crashed its target.
    static constexpr Duration SurvivalTime = std::chrono::milliseconds(100);
    /// Time in which a quarantine may soon be lifted again, because the evidence against it is
    /// still on its way.
    static constexpr Duration ProvisionalTime = std::chrono::seconds(2);
    /// Time for which a change is repeated in the messages to other daemons.
    static constexpr Duration RepeatTime = std::chrono::milliseconds(1500);
    /// Time from a crash to the first trial.
    static constexpr Duration TrialInterval = std::chrono::minutes(30);
    static constexpr Duration MaxTrialInterval = std::chrono::hours(24);
    /// A trial without a result after this time counts as not made.
    static constexpr Duration TrialTimeout = std::chrono::minutes(1);
    /// Above this number, lifted verdicts are forgotten first and then the oldest ones.
    static constexpr std::size_t MaxVerdicts = 256;

    // Events.

    /// Notes a caller's request.
    void noteArrival(const std::vector<PromptPartId> &parts) { m_evidence.noteArrival(parts); }
    /// Notes that a run of a target has ended before the response to a request with these parts had
    /// gone on.
    void noteCrash(const CrashedAttempt &attempt, const std::vector<PromptPartId> &parts,
                   TimePoint now);
    /// Notes that a response to a request with these parts, which began at `beganAt`, has gone on.
    void noteSurvival(const std::vector<PromptPartId> &parts, TimePoint beganAt, TimePoint now);
    /// Notes that a run has responded to an attempt that was sent at `sentAt`.
    void noteSignOfLife(const TargetRun &run, TimePoint sentAt, TimePoint now);
    /// Notes whether this daemon passes on to others what it learns, as relays do.
    void setRelay(bool isRelay) noexcept { m_isRelay = isRelay; }
    /// Applies another daemon's update.
    ///
    /// \returns whether anything in it was not known
    bool merge(const QuarantineUpdate &update, TimePoint now);
    /// Applies a verdict, of another daemon or from the store.
    ///
    /// \returns whether it differs from the known one
    bool merge(const QuarantineVerdict &verdict, TimePoint now);
    /// Puts parts into quarantine if the evidence suffices. Call it several times a second while
    /// hasSuspects().
    void update(TimePoint now);
    /// Starts a trial of a part, if one is due. Only the leader may call it.
    ///
    /// \returns whether the request may be sent
    bool startTrial(const PromptPartId &part, TimePoint now);

    // Queries.

    [[nodiscard]] bool hasSuspects() const noexcept { return !m_evidence.isEmpty(); }
    /// \returns the first of the parts that is in quarantine, or nothing
    [[nodiscard]] std::optional<QuarantinedPart> find(const std::vector<PromptPartId> &parts,
                                                      TimePoint now) const;
    /// \returns whether a request with these parts must not be sent to another target after a crash
    [[nodiscard]] bool forbidsRetry(const std::vector<PromptPartId> &parts) const;
    /// \returns what to tell other daemons now
    [[nodiscard]] QuarantineUpdate message(TimePoint now) const;
    /// \returns whether message() has more than a checksum
    [[nodiscard]] bool hasNews(TimePoint now) const;
    /// \returns all verdicts in force, lifted ones included
    [[nodiscard]] std::vector<QuarantineVerdict> verdicts(TimePoint now) const;
    /// \returns the verdicts that have changed since the last call, for the log
    [[nodiscard]] std::vector<QuarantineVerdict> takeChanges(TimePoint now);

private:
    struct Verdict
    {
        std::uint64_t generation = 1;
        bool isLifted = false;
        std::uint32_t failedTrials = 0;
        /// When the latest crash was, or the quarantine was lifted.
        TimePoint since;
        /// When this daemon has learnt of the verdict.
        TimePoint knownSince;
        std::optional<TimePoint> trialStartedAt;
    };

    /// Bounds the size of message(), which is sent in a datagram. The latest news go first.
    static constexpr std::size_t MaxSuspectsPerMessage = CrashEvidence::MaxSuspectsPerRun;

    void noteNews(const TargetRun &run, TimePoint now) { m_newsUntil[run] = now + RepeatTime; }
    void noteVerdict(const PromptPartId &part, TimePoint now);
    void lift(const PromptPartId &part, TimePoint now);
    void convict(const PromptPartId &part, TimePoint now);
    /// Renews the quarantine of a part whose trial has crashed its target.
    void noteFailedTrial(const PromptPartId &part, TimePoint now);
    void boundVerdicts();
    [[nodiscard]] static Duration trialInterval(const Verdict &verdict);
    [[nodiscard]] static QuarantineVerdict toMessage(const PromptPartId &part,
                                                     const Verdict &verdict, TimePoint now);

    CrashEvidence m_evidence;
    std::map<PromptPartId, Verdict> m_verdicts;
    /// Parts in quarantine.
    std::set<PromptPartId> m_quarantined;
    /// Parts with sufficient evidence, and since when.
    std::map<PromptPartId, TimePoint> m_candidates;
    /// Runs whose ends are told to other daemons, and until when.
    std::map<TargetRun, TimePoint> m_newsUntil;
    /// Until when the verdicts are told to other daemons.
    TimePoint m_verdictsUntil;
    std::set<PromptPartId> m_changed;
    std::uint64_t m_checksum = 1;
    bool m_isRelay = false;
};

} // namespace bluebell
