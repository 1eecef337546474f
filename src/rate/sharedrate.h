#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "rate/ratehome.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

/// \file
/// One organisation's rate shared by daemons that tell each other what they admitted.

namespace bluebell {

/// Admits requests against a token bucket of which every daemon keeps its own estimate.
///
/// Each daemon counts what it admits since its start and sends the count to the others, which take
/// the difference out of their buckets. The estimates differ by what was admitted while a count was
/// on its way, so the bound is exceeded by at most that much. The refill of daemons that are not
/// heard from is left to them, each its even part: a daemon that is cut off serves from its part.
///
/// A daemon that starts again does not know what was admitted before: its bucket starts at a part
/// of the burst, and takes over the level of a daemon that has been running for longer.
class SharedRate
{
public:
    /// Part of the burst at hand at the start.
    static constexpr double StartLevel = 0.5;

    SharedRate(RateLimit limit, TimePoint now)
        : m_limit(limit), m_level(StartLevel * static_cast<double>(limit.burst)), m_refilledAt(now)
    {
    }

    // Events.

    /// Puts another limit into force.
    void setLimit(RateLimit limit, TimePoint now);
    /// Notes which part of the refill is this daemon's to use.
    ///
    /// \param daemons all daemons that may admit requests, this one among them
    /// \param heard those of them whose counts arrive, this one among them
    void setFleet(std::size_t daemons, std::size_t heard, TimePoint now);
    /// Takes in what another daemon has admitted since its start.
    void noteAdmitted(const IncarnationId &daemon, Tokens total, TimePoint now);
    /// Forgets daemons that are gone.
    void keepOnly(const std::set<IncarnationId> &daemons);
    /// Takes a level from a daemon that has been running for longer.
    void adoptLevel(Tokens level, TimePoint now);

    /// Admits a request, or tells when it could be admitted.
    ///
    /// \returns nothing when it is admitted, else the time until the level suffices
    [[nodiscard]] std::optional<Duration> admit(Tokens tokens, TimePoint now);
    /// Gives back what a request did not use because it never ran.
    void giveBack(Tokens tokens);

    // Questions.

    /// \returns tokens that this daemon has admitted since its start
    [[nodiscard]] Tokens admitted() const noexcept { return m_admitted; }
    [[nodiscard]] Tokens level(TimePoint now);
    /// \returns whether the others should hear of the count at once
    [[nodiscard]] bool isScarce(TimePoint now);

private:
    void refill(TimePoint now);
    [[nodiscard]] double share() const noexcept;

    RateLimit m_limit;
    double m_level;
    TimePoint m_refilledAt;
    std::size_t m_daemons = 1;
    std::size_t m_heard = 1;
    Tokens m_admitted = 0;
    std::map<IncarnationId, Tokens> m_others;
};

} // namespace bluebell
