#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "placement/placementnews.h"
#include "site/targetregistry.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

/// \file
/// Chooses the target of a request by load, distance and how it has answered lately.

namespace bluebell {

/// What a request needs of its target.
struct TargetNeed
{
    ServiceId service;
    /// Set when the target must hold a model.
    std::optional<ReplicaKey> key;
    /// Targets that this request has met already.
    std::set<TargetId> excluded;
};

/// How an exchange with a target ended, as far as it tells about the target.
enum class TargetSignal : std::uint8_t {
    Answered,
    /// An error of the target's own.
    Failed,
    /// Refused the request because it is full.
    Full,
    /// No answer, or one that could not be read.
    Broken,
    /// No connection: the target is not there at all.
    Unreachable,
};

/// Knows the load of targets and which of them are better left alone for a while.
class TargetSelector
{
public:
    /// \param own the data centre of this daemon, whose targets are preferred
    /// \param salt differs between daemons, so that they do not all prefer the same of equal
    /// targets
    TargetSelector(DataCentreId own, std::string salt)
        : m_own(std::move(own)), m_salt(std::move(salt))
    {
    }

    // Events.

    void noteStarted(const TargetId &target, const std::optional<ReplicaKey> &key);
    void noteEnded(const TargetId &target, const std::optional<ReplicaKey> &key);
    void noteSignal(const TargetId &target, TargetSignal signal, TimePoint now);
    /// Notes that the target does not hold a model that it was thought to hold.
    void noteAbsent(const TargetId &target, const ReplicaKey &key, TimePoint now);
    /// Notes how many requests another daemon has at the targets.
    void noteOthers(const VmId &vm, std::map<TargetId, std::uint32_t> counts, TimePoint now);
    /// Sets how long another daemon's counts are taken in that are not renewed.
    void setOthersLifetime(Duration lifetime) { m_othersLifetime = lifetime; }
    void forgetAllBut(const std::map<TargetId, TargetEntry> &targets);

    // Questions.

    /// \param residents what each engine holds
    /// \returns the best usable target, or nothing
    [[nodiscard]] std::optional<TargetId> choose(const TargetNeed &need,
                                                 const std::map<TargetId, TargetEntry> &targets,
                                                 const Residents &residents, TimePoint now);

    /// \returns requests under way at `target` from this daemon and the others
    [[nodiscard]] std::uint32_t load(const TargetId &target) const;
    [[nodiscard]] const std::map<std::pair<TargetId, ReplicaKey>, std::uint32_t> &
    inFlight() const noexcept
    {
        return m_inFlight;
    }

private:
    struct Standing
    {
        std::uint32_t own = 0;
        /// Moving averages of broken and of failed exchanges, 0 to 1.
        double broken = 0;
        double failed = 0;
        TimePoint leftAloneUntil;
        /// Until then, requests are better off waiting for another target.
        TimePoint unreachableUntil;
        std::uint32_t failuresInRow = 0;
    };
    struct Others
    {
        std::map<TargetId, std::uint32_t> counts;
        TimePoint at;
    };

    [[nodiscard]] double score(const TargetEntry &target, TimePoint now) const;

    DataCentreId m_own;
    std::string m_salt;
    std::map<TargetId, Standing> m_standing;
    /// Forgets the counts of daemons that have not renewed them.
    void forgetSilent(TimePoint now);
    void takeOut(const std::map<TargetId, std::uint32_t> &counts);

    std::map<VmId, Others> m_others;
    /// Sum of all others' counts.
    std::map<TargetId, std::uint32_t> m_othersSum;
    Duration m_othersLifetime = std::chrono::milliseconds(1400);
    std::map<std::pair<TargetId, ReplicaKey>, std::uint32_t> m_inFlight;
    std::map<std::pair<TargetId, ReplicaKey>, TimePoint> m_absentUntil;
};

} // namespace bluebell
