#pragma once

#include "rate/ratehome.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// \file
/// The asking side of rate grants, one for each organisation at each daemon.

namespace bluebell {

/// Names one reservation of a holder.
using ReservationId = std::uint64_t;

/// Admits requests from grants that it holds and reports to the home what became of them.
///
/// Tokens that a reservation gives back go to the home, never to another request directly, because
/// the home may have displaced them.
class GrantHolder
{
public:
    /// \param name a prefix for grant ids that no other holder has
    explicit GrantHolder(std::string name) : m_name(std::move(name)) { }

    // Events.

    /// Reserves `tokens` from the grants at hand.
    ///
    /// \returns the reservation, or nothing when a grant is needed first
    [[nodiscard]] std::optional<ReservationId> admit(Tokens tokens, TimePoint now);

    /// Makes a question for at least `least` tokens; the validity of its grant counts from `now`.
    [[nodiscard]] GrantQuestion question(Tokens least, TimePoint now);

    /// Takes in the answer to a question; an answer to a forgotten question is passed over.
    void answered(const Granted &granted);
    void refused(const GrantId &id);

    /// Notes that a reservation has used `used` tokens so far, which it cannot give back any more.
    void progress(ReservationId reservation, Tokens used);

    /// Settles a reservation with the tokens that were really used.
    void settle(ReservationId reservation, Tokens used);

    /// Closes grants whose validity has ended.
    ///
    /// \returns the reports that changed since the last call
    [[nodiscard]] std::vector<GrantReport> takeReports(TimePoint now);

    /// Notes that `reports` may not have arrived, so that they are made again.
    void reportsLost(const std::vector<GrantReport> &reports);

    // Questions.

    [[nodiscard]] std::size_t grantCount() const noexcept { return m_grants.size(); }

private:
    struct Grant
    {
        TimePoint askedAt;
        TimePoint validUntil;
        Tokens amount = 0;
        GrantReport report;
        bool isAnswered = false;
        bool isChanged = false;
    };

    struct Reservation
    {
        GrantId grant;
        Tokens tokens = 0;
        /// Tokens already reported as consumed.
        Tokens consumed = 0;
    };

    [[nodiscard]] Tokens wanted(TimePoint now);
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
