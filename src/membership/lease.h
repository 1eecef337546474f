#pragma once

#include "core/ids.h"
#include "core/rowversion.h"
#include "core/time.h"

#include <cstdint>
#include <optional>

/// \file
/// Leases on rows of the table service that need no clock comparison between VMs.

namespace bluebell {

/// Timing on which all holders and observers of a lease must agree.
struct LeaseSettings
{
    /// Validity of a lease after its renewal was sent, before the margin is subtracted.
    Duration duration = std::chrono::seconds(9);
    /// Allowance for clocks that run at different rates.
    Duration margin = std::chrono::seconds(1);
    Duration renewalInterval = std::chrono::seconds(3);
    /// The longest time between two reads of a continuous observation.
    Duration maxReadGap = std::chrono::seconds(5);
};

/// The holder's side of a lease.
///
/// The lease is valid until the send time of the last successful renewal plus duration minus
/// margin.
class LeaseHolder
{
public:
    explicit LeaseHolder(LeaseSettings settings) : m_settings(settings) { }

    /// \returns whether a renewal is due and none is in flight
    [[nodiscard]] bool isRenewalDue(TimePoint now) const noexcept;

    void renewalSent(TimePoint now) noexcept;
    /// Notes that the last renewal sent has succeeded.
    void renewalSucceeded(RowVersion version) noexcept;
    /// Notes that the last renewal sent has failed or that its reply was lost.
    void renewalFailed() noexcept;
    /// Notes that another member has taken the lease over. It ends at once and is never renewed.
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

/// The observer's side: watches one row until its holder's lease must have expired.
class LeaseObserver
{
public:
    explicit LeaseObserver(LeaseSettings settings) : m_settings(settings) { }

    /// Notes a read that completed at `now` and returned `version`.
    void noteRead(RowVersion version, TimePoint now) noexcept;

    /// \returns whether reads without a gap above maxReadGap returned the same version for
    ///          duration plus margin, and the last read isn't older than that gap
    [[nodiscard]] bool hasExpired(TimePoint now) const noexcept;

    [[nodiscard]] RowVersion version() const noexcept { return m_version; }

private:
    LeaseSettings m_settings;
    RowVersion m_version = 0;
    std::optional<TimePoint> m_since;
    std::optional<TimePoint> m_lastRead;
};

} // namespace bluebell
