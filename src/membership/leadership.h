#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "membership/lease.h"
#include "membership/roles.h"

#include <algorithm>
#include <cstdint>
#include <optional>

/// \file
/// Election of the leader, the daemon that sends orders to the targets, by a lease on one row of
/// the platform's store.

namespace bluebell {

/// The leader row in the store.
struct LeaderRecord
{
    VmId vm;
    IncarnationId incarnation;
    /// Fencing number; every change of holder increments it. It contains the era of the store, so
    /// that no number is used by two holders when the store comes back from an older copy.
    Epoch epoch = 0;
    /// Remaining takeover delay when the row was written: the holder sends no order before it has
    /// passed, because the former holder may have sent one shortly before.
    Duration takeoverDelayLeft {};
    /// Whether the holder has released the role. `takeoverDelayLeft` then applies to its successor.
    bool isReleased = false;

    friend bool operator==(const LeaderRecord &, const LeaderRecord &) = default;
};

/// The next action for the caller of Leadership.
enum class LeadershipStep : std::uint8_t {
    Wait,
    /// Read the row.
    Read,
    /// Write record() on condition that the row still has version().
    Write,
};

/// Decides when a daemon claims, renews and releases the leader role.
///
/// Used by the gateway; RoleTable is its counterpart in the controller.
///
/// The holder's lease ends a fixed time after it sent its last successful renewal. A daemon on
/// another VM claims the role only when it is vacant, the holder has released it, or the row has
/// stayed unchanged for longer than that. It then waits for the takeover delay: the time that must
/// pass between orders of two VMs. A new incarnation on the same VM starts no new delay and waits
/// only for the rest of a delay that the row still states.
///
/// When the store has come back from an older copy of its data, a row of an earlier era, or none,
/// says nothing of who has sent orders since it was written. Its holder does not own it, and it
/// must stay unchanged as above, with the full takeover delay after it, whatever it states. Only
/// the daemon whose lease is still valid then may claim the role at once, with a new epoch.
class Leadership
{
public:
    struct Settings
    {
        LeaseSettings lease { std::chrono::milliseconds(1300), std::chrono::milliseconds(100),
                              std::chrono::milliseconds(400), std::chrono::milliseconds(1000) };
        /// Takeover delay: the least time between the last order of one VM and the first of the
        /// next.
        Duration takeoverDelay = std::chrono::milliseconds(3100);
        /// The role isn't claimed for this time after the last status of the leader.
        Duration leaderTimeout = std::chrono::milliseconds(700);
        /// Time between two reads of the row while another daemon is the leader.
        Duration readInterval = std::chrono::milliseconds(300);
        /// Whether all daemons start for the first time, so that there was no leader before.
        bool isFirstStart = false;
    };

    Leadership(VmId vm, IncarnationId incarnation, Settings settings);

    // Events.

    /// Changes the takeover delay.
    void setTakeoverDelay(Duration takeoverDelay) noexcept
    {
        m_settings.takeoverDelay = takeoverDelay;
    }
    /// Notes a status of the leader that says that its lease is valid.
    void noteLeaderAlive(TimePoint now) noexcept
    {
        m_leaderSeenAt = m_leaderSeenAt ? std::max(*m_leaderSeenAt, now) : now;
    }
    /// Sets whether this daemon may claim the role; a holder keeps it.
    void setCandidate(bool isCandidate) noexcept { m_isCandidate = isCandidate; }
    void readSent(TimePoint now) noexcept;
    /// \param record empty when the row is absent
    /// \param era era of the store when it sent the row
    void readSucceeded(const std::optional<LeaderRecord> &record, RowVersion version, StoreEra era,
                       TimePoint now);
    void readFailed() noexcept { m_isCallPending = false; }
    void writeSent(TimePoint now) noexcept;
    void writeSucceeded(RowVersion version) noexcept;
    /// Notes that the condition did not hold or that the outcome is unknown; the row is read again.
    void writeFailed() noexcept;
    /// Notes that an order is being sent.
    void noteOrder(TimePoint now) noexcept { m_lastOrder = now; }
    /// Notes that this daemon releases the role and never claims it again.
    void noteReleasing() noexcept { m_isReleasing = true; }

    // Queries.

    [[nodiscard]] LeadershipStep next(TimePoint now) const;
    /// \returns the row to write in order to claim, renew or release the role
    [[nodiscard]] LeaderRecord record(TimePoint now) const;
    [[nodiscard]] RowVersion version() const noexcept { return m_version; }
    /// \returns whether this daemon is the leader, with a valid lease
    [[nodiscard]] bool isLeader(TimePoint now) const noexcept;
    /// \returns whether this daemon is the leader and its takeover delay has passed
    [[nodiscard]] bool maySendOrders(TimePoint now) const noexcept;
    [[nodiscard]] Epoch epoch() const noexcept { return m_epoch; }

private:
    [[nodiscard]] bool ownsRecord() const;
    /// \returns whether the row may have been written by another holder after what was read
    [[nodiscard]] bool isRecordOutdated() const;
    /// Starts a new era of the store.
    void startEra(StoreEra era, TimePoint now);
    [[nodiscard]] bool mayClaim(TimePoint now) const;
    [[nodiscard]] Duration takeoverDelayLeft(TimePoint now) const;

    VmId m_vm;
    IncarnationId m_incarnation;
    Settings m_settings;
    LeaseHolder m_holder;
    LeaseObserver m_observer;
    std::optional<TimePoint> m_leaderSeenAt;
    std::optional<TimePoint> m_lastRead;
    std::optional<TimePoint> m_lastOrder;
    bool m_isCandidate = true;
    bool m_isCallPending = false;
    bool m_isReleasing = false;
    bool m_needsRead = true;
    bool m_hasRead = false;
    std::optional<LeaderRecord> m_record;
    RowVersion m_version = 0;
    /// Era of the store at the last read.
    std::optional<StoreEra> m_era;
    /// Whether the era has changed since the start of this daemon.
    bool m_hasEraChanged = false;
    /// End of the lease with which this daemon saw a new era; it may claim the role until then.
    std::optional<TimePoint> m_reclaimUntil;
    /// When the current version of the row was first read.
    TimePoint m_versionSince;
    Epoch m_epoch = 0;
    /// End of the takeover delay; no order is sent before.
    TimePoint m_ordersAllowedAt;
};

} // namespace bluebell
