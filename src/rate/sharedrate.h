#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "rate/ratehome.h"
#include "rate/recenttokens.h"
#include "rate/returntimes.h"

#include <cstdint>
#include <map>
#include <optional>

/// \file
/// An organisation's rate limit, enforced jointly by daemons that exchange admission counts.

namespace bluebell {

/// By how much the sum over all daemons may exceed an organisation's limit.
///
/// In any window at most (rate x window + burst) x (1 + excess) + slack tokens may be admitted.
struct QuotaBound
{
    double excess = 0;
    Tokens slack = 0;
    Duration window = std::chrono::seconds(8);
};

/// Which admissions a count includes.
struct CountTimes
{
    /// The count includes all admissions of its senders up to this time.
    TimePoint sentAt;
    /// Admissions of this daemon up to this time are known to the senders.
    TimePoint ownKnownUntil;
    /// When the count was zero; by default, long ago.
    TimePoint startedAt = TimePoint::min();
};

/// State of a bucket, for logs and metrics.
struct SharedRateState
{
    /// This daemon's estimate of the tokens left.
    Tokens level = 0;
    /// What this daemon has admitted and others may not know yet.
    Tokens unseen = 0;
    /// The part of the bucket that this daemon may admit unseen by others.
    double share = 1;
    /// Mean age of the others' counts.
    Duration countAge {};
};

/// Token bucket of which every daemon keeps its own estimate.
///
/// Each daemon counts the tokens that it has admitted since its start and sends the count to the
/// others, which subtract the increase from their buckets. While the load is low, the level alone
/// decides. Otherwise what a daemon admits unseen by the others stays within its share, and the
/// shares of all daemons add up to one; so the sum stays within the limit whatever the age of the
/// counts. docs/design/rate-bound.md explains the decision.
///
/// Daemons that are not alive keep their part of the level and of the refill: a partitioned daemon
/// continues with its own share.
///
/// A restarted daemon does not know what was admitted before: its bucket starts at a fraction of
/// the burst, of which it uses its share until it adopts the level of a daemon that has been
/// running for longer.
class SharedRate
{
public:
    /// Level at the start, as a fraction of the burst.
    static constexpr double InitialFraction = 0.5;
    /// The last count of a silent daemon is forgotten after this time.
    static constexpr Duration PeerTotalLifetime = std::chrono::minutes(10);
    /// Priority of a request that has none.
    static constexpr int DefaultPriority = 5;

    /// \param seed differs between the daemons
    SharedRate(RateLimit limit, TimePoint now, std::uint64_t seed = 0);

    // Events.

    /// Replaces the limit and lowers the level to the new burst if it is higher.
    void setLimit(RateLimit limit, TimePoint now);
    /// Sets the allowed excess of the sum over all daemons; none by default.
    void setBound(const QuotaBound &bound) noexcept { m_bound = bound; }
    /// Fills the bucket. Call it at the first start of the whole fleet, before which nothing was
    /// admitted.
    void fill(TimePoint now);
    /// Sets the fraction of the refill that this daemon uses: `live` / `daemons`.
    ///
    /// \param daemons number of daemons that may admit requests, this one included
    /// \param live number of those whose counts arrive, this one included
    void setDaemonCounts(std::size_t daemons, std::size_t live, TimePoint now);
    /// Subtracts what another daemon has admitted since its last count.
    ///
    /// The first count of a daemon that has run for longer than this one, or the first after
    /// PeerTotalLifetime, only serves as the base of the next. A count that was sent before the
    /// last one is ignored.
    ///
    /// \param total tokens admitted by `daemon` since its start
    /// \param times if they are not given, the count holds until the next one
    void noteAdmitted(const IncarnationId &daemon, Tokens total, TimePoint now,
                      std::optional<CountTimes> times = std::nullopt);
    /// Subtracts what all other daemons have admitted since the last sum.
    ///
    /// The first sum of a relay only serves as the base of the next, unless the relay and this
    /// daemon have started at the same time.
    ///
    /// \param relay the process that made the sum
    void noteFleetAdmitted(const IncarnationId &relay, Tokens total, const CountTimes &times,
                           TimePoint now);
    /// Replaces the level by that of a daemon that has been running for longer.
    void adoptLevel(Tokens level, TimePoint now);

    /// Admits a request of `tokens` tokens if the level and the share suffice.
    ///
    /// \param priority lower numbers are more urgent
    /// \returns nothing when the request is admitted, else the time after which to try again
    [[nodiscard]] std::optional<Duration> admit(Tokens tokens, TimePoint now,
                                                int priority = DefaultPriority);
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
    [[nodiscard]] SharedRateState state(TimePoint now);

private:
    /// The last count received from another daemon, or from a relay.
    struct PeerTotal
    {
        Tokens total = 0;
        TimePoint at;
        /// Not known of daemons that send a count only when they have admitted something.
        std::optional<CountTimes> times;
    };
    /// What the counts of the others tell at one moment.
    struct Knowledge
    {
        /// Own admissions up to this time are known to all live daemons.
        TimePoint knownUntil;
        Duration meanAge {};
    };

    void refill(TimePoint now);
    /// Keeps `part` of the bucket and leaves the rest to daemons that are no longer heard.
    void reserveForSilent(double part, TimePoint now);
    /// \returns the fraction of rate and burst that this daemon uses
    [[nodiscard]] double refillShare() const noexcept;
    [[nodiscard]] Knowledge knowledge(TimePoint now) const;
    [[nodiscard]] double share(const Knowledge &known) const;
    /// \returns the tokens by which the level may be exceeded
    [[nodiscard]] double allowance() const noexcept;
    /// \returns the tokens that may be admitted in one window
    [[nodiscard]] double windowLimit() const noexcept;
    /// \returns the tokens that the window allows beyond what is known to be admitted in it
    [[nodiscard]] double windowLeft(TimePoint now) const;
    [[nodiscard]] bool suffices(double wanted, TimePoint now) const;
    /// \returns what the other daemons are expected to have admitted that is not known yet
    [[nodiscard]] double expectedByOthers(double wanted, Duration age, TimePoint now) const;
    void drawFraction() noexcept;

    RateLimit m_limit;
    QuotaBound m_bound;
    double m_level;
    TimePoint m_startedAt;
    TimePoint m_refilledAt;
    std::size_t m_daemons = 1;
    /// Daemons whose counts arrive.
    std::size_t m_live = 1;
    /// Tokens left to daemons that are not heard.
    double m_reserved = 0;
    /// Tokens that were left to daemons that are heard again; they flow back into the level.
    double m_released = 0;
    /// Whether the level is known, here or from another daemon.
    bool m_knowsLevel = false;
    Tokens m_admitted = 0;
    std::map<IncarnationId, PeerTotal> m_peerTotals;
    /// The relay whose sums count, if the counts come from relays.
    std::optional<IncarnationId> m_relay;
    RecentTokens m_own;
    RecentTokens m_others;
    /// Tokens that callers asked this daemon for.
    RecentTokens m_offered;
    ReturnTimes m_returnTimes;
    std::uint64_t m_random;
    /// Part of a request's tokens that the share must cover.
    double m_fraction = 0;
};

} // namespace bluebell
