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
    /// Whether a part that the request doesn't contain may have caused the crashes. The request
    /// isn't refused then, but sent as a trial when Quarantine::startTrialOf() allows it.
    bool mayBeSound = false;
};

/// A daemon's place in the order in which the daemons of the fleet make trials.
struct TrialTurn
{
    /// Number of daemons before it.
    std::size_t rank = 0;
    std::size_t daemons = 1;
};

/// Puts prompt parts that crash targets into quarantine, and exchanges evidence and verdicts with
/// the other daemons of the fleet.
///
/// Every daemon decides by the evidence that it knows and adopts the verdicts of others. A
/// quarantine ends when a response to a request with the part goes on after all, be it one that was
/// running or a trial.
///
/// Parts that always come together are suspected of the same crashes, so the wrong one of them may
/// be in quarantine. A request that contains only some of them may be sound: it is sent as a trial,
/// of which the daemons make one at a time, in turn. What the request lacks must explain all of the
/// crashes: two parts together until two trials have failed, then one part. Other requests with a
/// part in quarantine are refused until, after a long time, the leader lets one of them through. If
/// that crashes its target as well, the next one is due after twice the time.
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
    /// Deadly parts at the same time that are considered until two trials have failed.
    static constexpr std::size_t MaxCauses = 2;
    /// Time from a crash to the first trial.
    static constexpr Duration TrialInterval = std::chrono::minutes(30);
    static constexpr Duration MaxTrialInterval = std::chrono::hours(24);
    /// Time from the adoption of a quarantine to the first trial if no daemon has its evidence any
    /// more.
    static constexpr Duration UnprovenTrialDelay = std::chrono::seconds(2);
    /// A trial without a result after this time counts as not made.
    static constexpr Duration TrialTimeout = std::chrono::minutes(1);
    /// Time from the adoption of a quarantine to the first trial with a request that may be sound:
    /// responses that go on meanwhile clear parts that only happened to be suspected as well.
    static constexpr Duration SoundTrialDelay = std::chrono::milliseconds(500);
    /// Time of one daemon's turn to make such a trial. It may start in the first half; the result
    /// is known to all daemons at the end.
    static constexpr Duration TrialTurnTime = std::chrono::milliseconds(600);
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
    /// Starts a trial with a request that may be sound, see find(). Call it just before the request
    /// is sent.
    ///
    /// \returns whether the request may be sent; if not, it is another daemon's turn
    bool startTrialOf(const std::vector<PromptPartId> &parts, const TrialTurn &turn, TimePoint now);

    // Queries.

    [[nodiscard]] bool hasSuspects() const noexcept { return !m_evidence.isEmpty(); }
    /// \returns the first of a request's parts that is in quarantine, or nothing; parts for which
    /// the request is refused go first
    [[nodiscard]] std::optional<QuarantinedPart> find(const std::vector<PromptPartId> &parts,
                                                      TimePoint now) const;
    /// \returns whether a request that isn't refused is sent as a trial: it contains a part in
    /// quarantine, or another one that is suspected of all the same crashes
    [[nodiscard]] bool needsTrial(const std::vector<PromptPartId> &parts) const;
    /// \returns whether a request may be sent now, because it needs no trial or may start one
    [[nodiscard]] bool mayStartTrialOf(const std::vector<PromptPartId> &parts,
                                       const TrialTurn &turn, TimePoint now) const;
    /// \returns the number of crashes behind a quarantine
    [[nodiscard]] std::size_t crashCount(const PromptPartId &part) const
    {
        return m_evidence.runsOf(part).size();
    }
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
        /// Whether this daemon has known the evidence for the verdict at any time.
        bool isProven = false;
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
    /// Tells the evidence for all quarantines in force to other daemons once more.
    void repeatEvidence(TimePoint now);
    /// Notes which quarantines this daemon knows the evidence for.
    void noteProven();
    [[nodiscard]] bool hasEvidence(const PromptPartId &part) const
    {
        return m_evidence.latestCrash(part).has_value();
    }
    /// Lifts quarantines that another daemon has renewed while responses with the part went on:
    /// their crashes but the latest ones have been cleared.
    void liftRefuted(TimePoint now);
    /// \returns whether evidence may be missing here that other daemons have
    [[nodiscard]] bool lacksEvidence(TimePoint now) const;
    /// \returns whether a request contains a part in quarantine, or another one that is suspected
    /// of all the same crashes
    [[nodiscard]] bool concerns(const PromptPartId &quarantined,
                                const std::vector<PromptPartId> &parts) const;
    /// \returns whether a request may be sound although it contains a part in quarantine
    [[nodiscard]] bool mayBeSound(const PromptPartId &part,
                                  const std::vector<PromptPartId> &parts) const;
    /// \returns whether a daemon may start a trial
    ///
    /// \param age time since the latest crash of the quarantines that the trial concerns
    [[nodiscard]] static bool isTurn(const TrialTurn &turn, Duration age);
    [[nodiscard]] QuarantinedPart describe(const PromptPartId &part, TimePoint now) const;
    [[nodiscard]] Duration trialInterval(const PromptPartId &part, const Verdict &verdict) const;
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
