#pragma once

#include "rate/ratehome.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// \file
/// The requesting side of rate grants: one holder for each organisation on each daemon.

namespace bluebell {

/// Identifies a reservation within its holder.
using ReservationId = std::uint64_t;

/// Admits requests against its grants and reports to the home how their tokens were used.
///
/// Unused tokens of a reservation are refunded to the home and never reused locally, because the
/// home may already have displaced them with refill; see RateHome.
class GrantHolder
{
public:
    /// \param name prefix of grant ids, unique to this holder
    explicit GrantHolder(std::string name) : m_name(std::move(name)) { }

    // Events.

    /// Reserves `tokens` from a valid grant.
    ///
    /// \returns the reservation, or nothing when no grant has enough tokens left
    [[nodiscard]] std::optional<ReservationId> admit(Tokens tokens, TimePoint now);

    /// Creates a request for a grant of at least `least` tokens, sized by recent demand.
    ///
    /// The validity of the grant starts at `now`, before the request is sent, so that the holder
    /// never uses a grant for longer than the home allows.
    [[nodiscard]] GrantQuestion question(Tokens least, TimePoint now);

    /// Stores a received grant; a response to a discarded request is ignored.
    void answered(const Granted &granted);
    /// Discards a request that the home refused.
    void refused(const GrantId &id);

    /// Records that a reservation has used `used` tokens so far, which can no longer be refunded.
    void progress(ReservationId reservation, Tokens used);

    /// Ends a reservation: `used` tokens are consumed and the rest is refunded to the home.
    void settle(ReservationId reservation, Tokens used);

    /// Closes grants that are used up or no longer valid.
    ///
    /// \returns the reports that changed since the last call
    [[nodiscard]] std::vector<GrantReport> takeReports(TimePoint now);

    /// Marks `reports` for sending again because they may not have arrived.
    void requeueReports(const std::vector<GrantReport> &reports);

    // Queries.

    [[nodiscard]] std::size_t grantCount() const noexcept { return m_grants.size(); }

private:
    struct Grant
    {
        TimePoint requestedAt;
        TimePoint validUntil;
        Tokens amount = 0;
        GrantReport report;
        bool isGranted = false;
        /// Whether `report` has changed since it was last taken.
        bool hasUnsentChanges = false;
    };

    struct Reservation
    {
        GrantId grant;
        Tokens tokens = 0;
        /// Tokens counted as consumed so far.
        Tokens consumed = 0;
    };

    /// \returns the tokens admitted in the current window, as an estimate of demand
    [[nodiscard]] Tokens recentDemand(TimePoint now);
    /// \returns whether the grant is closed and all its reservations have ended
    [[nodiscard]] static bool isSettled(const Grant &grant);

    std::string m_name;
    std::uint64_t m_nextGrant = 0;
    ReservationId m_nextReservation = 1;
    std::map<GrantId, Grant> m_grants;
    std::map<ReservationId, Reservation> m_reservations;
    /// Tokens admitted since m_windowStart, to size the next grant.
    Tokens m_windowTokens = 0;
    TimePoint m_windowStart;
};

} // namespace bluebell
