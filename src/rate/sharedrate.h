#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "rate/ratehome.h"

#include <cstdint>
#include <map>
#include <optional>

/// \file
/// An organisation's rate limit, enforced jointly by daemons that exchange admission counts.

namespace bluebell {

/// Token bucket of which every daemon keeps its own estimate.
///
/// Each daemon counts the tokens that it has admitted since its start and sends the count to the
/// others, which subtract the increase from their buckets. The limit is exceeded by at most the
/// tokens admitted while a count is in transit. Every daemon has an equal share of the refill, and
/// those that are not alive keep theirs: a partitioned daemon continues with its own share.
///
/// A restarted daemon does not know what was admitted before: its bucket starts at a fraction of
/// the burst and adopts the level of a daemon that has been running for longer.
class SharedRate
{
public:
    /// Level at the start, as a fraction of the burst.
    static constexpr double InitialFraction = 0.5;
    /// The last count of a silent daemon is forgotten after this time.
    static constexpr Duration PeerTotalLifetime = std::chrono::minutes(10);

    SharedRate(RateLimit limit, TimePoint now)
        : m_limit(limit), m_level(InitialFraction * static_cast<double>(limit.burst)),
          m_refilledAt(now)
    {
    }

    // Events.

    /// Replaces the limit and lowers the level to the new burst if it is higher.
    void setLimit(RateLimit limit, TimePoint now);
    /// Sets the fraction of the refill that this daemon uses: `live` / `daemons`.
    ///
    /// \param daemons number of daemons that may admit requests, this one included
    /// \param live number of those whose counts arrive, this one included
    void setDaemonCounts(std::size_t daemons, std::size_t live, TimePoint now);
    /// Subtracts what another daemon has admitted since its last count.
    ///
    /// The first count of a daemon, or the first after PeerTotalLifetime, only serves as the base
    /// of the next.
    ///
    /// \param total tokens admitted by `daemon` since its start
    void noteAdmitted(const IncarnationId &daemon, Tokens total, TimePoint now);
    /// Replaces the level by that of a daemon that has been running for longer.
    void adoptLevel(Tokens level, TimePoint now);

    /// Admits a request of `tokens` tokens if the level suffices.
    ///
    /// \returns nothing when the request is admitted, else the time until the level suffices
    [[nodiscard]] std::optional<Duration> admit(Tokens tokens, TimePoint now);
    /// Returns the tokens of an admitted request that never ran.
    void refund(Tokens tokens);

    // Queries.

    /// \returns the tokens that this daemon has admitted since its start, less those refunded
    [[nodiscard]] Tokens admitted() const noexcept { return m_admitted; }
    /// \returns this daemon's estimate of the available tokens, negative when other daemons have
    /// admitted more than it knew of
    [[nodiscard]] Tokens level(TimePoint now);
    /// \returns whether the level is so low that the count should be sent to the others at once
    [[nodiscard]] bool isLow(TimePoint now);

private:
    void refill(TimePoint now);
    /// \returns the fraction of rate and burst that this daemon uses
    [[nodiscard]] double refillShare() const noexcept;

    RateLimit m_limit;
    double m_level;
    TimePoint m_refilledAt;
    std::size_t m_daemons = 1;
    /// Daemons whose counts arrive.
    std::size_t m_live = 1;
    Tokens m_admitted = 0;
    /// The last count received from another daemon.
    struct PeerTotal
    {
        Tokens total = 0;
        TimePoint at;
    };

    std::map<IncarnationId, PeerTotal> m_peerTotals;
};

} // namespace bluebell
