#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

/// \file
/// Choice of the relays that a daemon reports to.

namespace bluebell {

/// Chooses two daemons of the group as relays, and replaces those that stay silent.
///
/// A daemon that is asked by a report to act as a relay answers with digests. One that sends none
/// for a while counts as silent, and the next one of the ranking takes its place; it is tried again
/// later.
class Subscription
{
public:
    /// Relays that a daemon reports to. The first one, the primary, counts its requests.
    static constexpr std::size_t RelayCount = 2;
    /// Time without a digest after which a relay counts as silent.
    static constexpr Duration SilenceTimeout = std::chrono::milliseconds(1300);
    /// Time after which a silent relay is tried again.
    static constexpr Duration RetryInterval = std::chrono::seconds(4);

    explicit Subscription(VmId self) : m_self(std::move(self)) { }

    // Events.

    /// Sets the members of the group in the order in which they become relays.
    void setRanking(std::vector<VmId> ranking);
    /// Sets which daemons are known to be unavailable; they are not chosen.
    void setUnavailable(std::set<VmId> unavailable) { m_unavailable = std::move(unavailable); }
    /// Notes that a relay has sent a digest.
    void noteDigest(const VmId &relay, TimePoint now);
    /// Chooses the relays anew. Call it before relays() whenever time has passed.
    void update(TimePoint now);

    // Queries.

    /// \returns the chosen relays, the primary first; this daemon itself may be one of them
    [[nodiscard]] const std::vector<VmId> &relays() const noexcept { return m_relays; }
    [[nodiscard]] bool isPrimary(const VmId &vm) const
    {
        return !m_relays.empty() && m_relays.front() == vm;
    }
    /// \returns whether this daemon is one of its group's relays
    [[nodiscard]] bool isSelfRelay() const;
    /// \returns when the last digest arrived, if any
    [[nodiscard]] std::optional<TimePoint> lastDigestAt() const noexcept { return m_lastDigestAt; }

private:
    struct RelayState
    {
        /// Since when this daemon has reported to it, while it does.
        std::optional<TimePoint> chosenAt;
        std::optional<TimePoint> digestAt;
        std::optional<TimePoint> silentUntil;
    };

    [[nodiscard]] bool isSilent(const VmId &vm, TimePoint now);
    [[nodiscard]] std::vector<VmId> choose(TimePoint now);

    VmId m_self;
    std::vector<VmId> m_ranking;
    std::set<VmId> m_unavailable;
    std::map<VmId, RelayState> m_states;
    std::vector<VmId> m_relays;
    std::optional<TimePoint> m_lastDigestAt;
};

} // namespace bluebell
