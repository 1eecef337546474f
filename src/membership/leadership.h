#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "membership/lease.h"
#include "membership/roles.h"

#include <cstdint>
#include <optional>

/// \file
/// Which daemon gives orders to the targets: a lease on one row of the platform's store.

namespace bluebell {

/// The row of the role.
struct LeaderRecord
{
    VmId vm;
    IncarnationId incarnation;
    /// Fencing number; every change of holder raises it.
    Epoch epoch = 0;
    /// Time after the writing of the row before which its holder gives no order, because a former
    /// holder's last order may be that recent.
    Duration turnLeft {};
    /// Whether the holder has given the role back; `turnLeft` then holds for its successor.
    bool isReleased = false;

    friend bool operator==(const LeaderRecord &, const LeaderRecord &) = default;
};

/// What the driver of Leadership does next.
enum class LeadershipStep : std::uint8_t {
    Wait,
    /// Read the row.
    Read,
    /// Write record() under the condition of version().
    Write,
};

/// Decides when a daemon takes the role, keeps it and gives it up.
///
/// The holder's right ends a fixed time after the sending of its last renewal that succeeded. Its
/// successor has seen the row unchanged for that long, and then waits for a turn: the time that
/// must pass between orders of two VMs. A new incarnation on the same VM needs no turn.
class Leadership
{
public:
    struct Settings
    {
        LeaseSettings lease { std::chrono::milliseconds(1300), std::chrono::milliseconds(100),
                              std::chrono::milliseconds(400), std::chrono::milliseconds(1000) };
        /// Between the last order of one VM and the first order of the next.
        Duration turn = std::chrono::milliseconds(3100);
        /// A holder that was heard from within this time is not challenged.
        Duration silence = std::chrono::milliseconds(700);
        /// Between two reads of a challenger.
        Duration readEvery = std::chrono::milliseconds(300);
    };

    Leadership(VmId vm, IncarnationId incarnation, Settings settings);

    // Events.

    /// Changes the time between orders of two VMs.
    void setTurn(Duration turn) noexcept { m_settings.turn = turn; }
    /// Notes that the holder itself told that its lease is valid.
    void noteHolderHeard(TimePoint now) noexcept { m_heardAt = now; }
    void readSent(TimePoint now) noexcept;
    /// Takes in a read; no record when the row is absent.
    void readSucceeded(const std::optional<LeaderRecord> &record, RowVersion version,
                       TimePoint now);
    void readFailed() noexcept { m_isCalling = false; }
    void writeSent(TimePoint now) noexcept;
    void writeSucceeded(RowVersion version) noexcept;
    /// The condition did not hold, or the outcome is unknown: the row is read again.
    void writeFailed() noexcept;
    /// Notes that an order is being given.
    void noteOrder(TimePoint now) noexcept { m_lastOrder = now; }
    /// Notes that this daemon gives the role up and claims it no more.
    void noteReleasing() noexcept { m_isReleasing = true; }

    // Questions.

    [[nodiscard]] LeadershipStep next(TimePoint now) const;
    /// \returns what to write, either to claim, to renew or to give up the role
    [[nodiscard]] LeaderRecord record(TimePoint now) const;
    [[nodiscard]] RowVersion version() const noexcept { return m_version; }
    /// \returns whether the lease is valid
    [[nodiscard]] bool isHolder(TimePoint now) const noexcept;
    /// \returns whether an order may be sent now
    [[nodiscard]] bool mayOrder(TimePoint now) const noexcept;
    [[nodiscard]] Epoch epoch() const noexcept { return m_epoch; }

private:
    [[nodiscard]] bool isOwn() const;
    [[nodiscard]] bool mayClaim(TimePoint now) const;
    [[nodiscard]] Duration turnLeft(TimePoint now) const;

    VmId m_vm;
    IncarnationId m_incarnation;
    Settings m_settings;
    LeaseHolder m_holder;
    LeaseObserver m_observer;
    std::optional<TimePoint> m_heardAt;
    std::optional<TimePoint> m_lastRead;
    std::optional<TimePoint> m_lastOrder;
    bool m_isCalling = false;
    bool m_isReleasing = false;
    bool m_needsRead = true;
    bool m_hasRead = false;
    std::optional<LeaderRecord> m_record;
    RowVersion m_version = 0;
    /// When the present version of the row was first seen.
    TimePoint m_versionSince;
    Epoch m_epoch = 0;
    /// No order before this time.
    TimePoint m_turnAt;
};

} // namespace bluebell
