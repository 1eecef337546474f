#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstdint>
#include <optional>

/// \file
/// Leases on rows of the table service, without comparing clocks between VMs.

namespace bluebell {

/// Version of a row of the table service; 0 stands for an absent row.
using RowVersion = std::uint64_t;

/// Times that holders and observers of a lease share.
struct LeaseSettings
{
    Duration duration = std::chrono::seconds(9);
    /// Allowance for clocks that run at different speeds.
    Duration margin = std::chrono::seconds(1);
    Duration renewEvery = std::chrono::seconds(3);
    /// The longest time between two reads of an unbroken observation.
    Duration observationGap = std::chrono::seconds(5);
};

/// The holder's side of a lease.
///
/// The right ends at the sending of the last renewal that succeeded, plus duration, less margin.
class LeaseHolder
{
public:
    explicit LeaseHolder(LeaseSettings settings) : m_settings(settings) { }

    /// \returns whether a renewal is due and none is under way
    [[nodiscard]] bool renewalDue(TimePoint now) const noexcept;

    void renewalSent(TimePoint now) noexcept;
    /// Notes the success of the renewal that was sent last.
    void renewalSucceeded(RowVersion version) noexcept;
    /// Notes that the last renewal failed or that its reply was lost.
    void renewalFailed() noexcept;
    /// Notes that another member has taken the lease away; the right ends for good.
    void fenced() noexcept;

    [[nodiscard]] bool isValid(TimePoint now) const noexcept;
    [[nodiscard]] bool isFenced() const noexcept { return m_isFenced; }
    [[nodiscard]] RowVersion version() const noexcept { return m_version; }
    [[nodiscard]] std::optional<TimePoint> validUntil() const noexcept { return m_validUntil; }

private:
    LeaseSettings m_settings;
    RowVersion m_version = 0;
    std::optional<TimePoint> m_sentAt;
    std::optional<TimePoint> m_lastAttempt;
    std::optional<TimePoint> m_validUntil;
    bool m_isFenced = false;
};

/// The challenger's side: watches one row until its holder must have lost the right.
class LeaseObserver
{
public:
    explicit LeaseObserver(LeaseSettings settings) : m_settings(settings) { }

    /// Notes a read that succeeded at `now` and showed `version`.
    void noteRead(RowVersion version, TimePoint now) noexcept;

    /// \returns whether the same version was seen over a whole duration and margin without a gap
    [[nodiscard]] bool hasLapsed(TimePoint now) const noexcept;

    [[nodiscard]] RowVersion version() const noexcept { return m_version; }

private:
    LeaseSettings m_settings;
    RowVersion m_version = 0;
    std::optional<TimePoint> m_since;
    std::optional<TimePoint> m_lastRead;
};

} // namespace bluebell
