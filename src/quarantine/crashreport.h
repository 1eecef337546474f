#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <compare>
#include <cstdint>
#include <vector>

/// \file
/// What daemons tell each other of crashed targets and of the prompt parts that crash them.

namespace bluebell {

/// One run of a target's process.
struct TargetRun
{
    TargetId target;
    /// See TargetEntry::startTimeMs.
    std::uint64_t startTimeMs = 0;

    friend auto operator<=>(const TargetRun &, const TargetRun &) = default;
};

/// How far the response to a request had come when its target ended, by increasing suspicion.
enum class ResponseStage : std::uint8_t {
    /// Its first event or part had just arrived.
    Begun,
    /// Nothing had arrived: the request may have waited behind others.
    Awaited,
    /// Its head had arrived, but no part of its body.
    Starting,
};

/// The course of an attempt whose target has ended.
struct CrashedAttempt
{
    TargetRun run;
    ResponseStage stage = ResponseStage::Awaited;
    TimePoint sentAt;
};

/// A prompt part of a request whose response was about to begin when a run ended.
struct SuspectPart
{
    PromptPartId part;
    /// Of the requests with the part, the one that is suspected most.
    ResponseStage stage = ResponseStage::Awaited;
    /// Number of parts before it in the prompt.
    std::uint32_t depth = 0;
    /// Time from the sending of the latest request with the part to the end of the run.
    Duration sentBefore {};
    /// Whether the part is known not to be the cause: a response to a request with it began later
    /// and went on, or the run did not end.
    bool isCleared = false;
};

/// The end of a run and the parts that may have caused it.
struct CrashReport
{
    TargetRun run;
    /// Time since the run ended.
    Duration age {};
    std::vector<SuspectPart> suspects;
};

/// The decision whether a prompt part is in quarantine. The one with the highest generation is in
/// force; within a generation, one that lifts the quarantine.
struct QuarantineVerdict
{
    PromptPartId part;
    std::uint64_t generation = 1;
    bool isLifted = false;
    /// Number of trials that have crashed their target.
    std::uint32_t failedTrials = 0;
    /// Time since the latest crash, or since the quarantine was lifted.
    Duration age {};
};

/// What one daemon tells others. Applying an update again, late or in another order has no effect.
struct QuarantineUpdate
{
    /// Hash of all verdicts that the sender knows; 0 if it knows nothing of quarantines.
    std::uint64_t checksum = 0;
    /// Crashes of which the sender has just learnt.
    std::vector<CrashReport> crashes;
    /// All verdicts, or none if the sender has no reason to believe that others lack them.
    std::vector<QuarantineVerdict> verdicts;
};

} // namespace bluebell
