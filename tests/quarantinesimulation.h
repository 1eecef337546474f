#pragma once

#include "quarantine/quarantine.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

/// \file
/// A fleet of daemons before targets that crash, in virtual time.

namespace bluebell::testing {

struct QuarantineWorld
{
    unsigned seed = 1;
    std::size_t daemons = 8;
    std::size_t targets = 9;
    double requestsPerSecond = 40;
    /// Share of requests with a deadly part.
    double deadlyShare = 0;
    /// Deadly parts, of which each such request has one.
    std::size_t deadlyParts = 1;
    /// Time in which all deadly requests have the first part and the session part of the company;
    /// after it each has parts like other requests.
    Duration companyTime {};
    /// Whether the deadly part comes before the company's session part in the prompt.
    bool isDeadlyPartFirst = false;
    /// Share of requests that are sound and have both parts of the company, from `soundFrom` on.
    double companyShare = 0;
    Duration soundFrom {};
    /// Time without deadly requests.
    Duration pauseFrom {};
    Duration pauseUntil {};
    /// Whether the company's sound requests reach only the last daemon, and deadly ones only
    /// others.
    bool areApart = false;
    /// Until then, the last daemon hears and tells nothing.
    Duration lastIsCutUntil {};
    /// When the last daemon starts again; all of them if `areAllLost`.
    std::optional<Duration> restartAt;
    bool areAllLost = false;
    /// The first daemons, which refuse all requests with a part in quarantine, as the version
    /// before did.
    std::size_t oldDaemons = 0;
    /// Mean time between crashes of other causes; none if empty.
    std::optional<Duration> crashInterval;
    /// Targets that such a crash ends.
    std::size_t targetsPerCrash = 1;
    /// Share of the messages between daemons that are lost.
    double lossRate = 0.1;
    Duration length = std::chrono::seconds(30);
};

struct QuarantineOutcome
{
    /// Runs that the deadly part has ended.
    std::size_t deadlyCrashes = 0;
    /// Requests with the deadly part that were sent later than 3 s after the fifth such run.
    std::size_t deadlySendsPastBound = 0;
    bool isDeadlyPartQuarantined = false;
    std::size_t soundRequests = 0;
    std::size_t refusedSoundRequests = 0;
    /// Sound requests of the company later than 6 s after the fifth crash, or the last one if there
    /// are fewer, and those of them that were sent to a target.
    std::size_t lateCompanyRequests = 0;
    std::size_t lateCompanySends = 0;
    /// Sound parts in quarantine at the end.
    std::set<PromptPartId> soundPartsQuarantined;
};

/// Plays requests with shared parts; each response begins after some time and then goes on. Daemons
/// exchange their messages each 200 ms. The first daemon is the leader, which stores the verdicts.
[[nodiscard]] QuarantineOutcome simulateQuarantine(const QuarantineWorld &world);

} // namespace bluebell::testing
