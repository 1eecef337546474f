#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "membership/roles.h"
#include "rules/rule.h"

#include <map>
#include <optional>
#include <variant>
#include <vector>

/// \file
/// The home of an organisation's rate: the single owner of its token bucket, which grants tokens to
/// the daemons so that the limit holds across all VMs.

namespace bluebell {

/// Rate and burst of a token bucket.
struct RateLimit
{
    /// Tokens per second.
    Tokens rate = 0;
    /// Capacity of the bucket in tokens.
    Tokens burst = 0;
};

/// Usage of one grant, sent by its holder to the home.
///
/// All counts are cumulative and never decrease, so reports may be repeated or reordered.
struct GrantReport
{
    GrantId id;
    /// Tokens reserved from the grant so far.
    Tokens admitted = 0;
    /// Tokens used by reservations, running ones included.
    Tokens consumed = 0;
    /// Tokens that ended reservations left unused.
    Tokens refunded = 0;
    /// Whether the holder admits nothing more from the grant; its unreserved tokens are returned.
    bool isClosed = false;
};

/// A request for a grant.
struct GrantQuestion
{
    /// Chosen by the requester; a repeated request has the same id and gets the same grant.
    GrantId id;
    /// The smallest useful amount: the size of the request to admit.
    Tokens least = 0;
    /// The preferred amount.
    Tokens wanted = 0;
};

/// A grant of tokens, which its holder may admit within `validity` of sending its request.
struct Granted
{
    GrantId id;
    Tokens amount = 0;
    Duration validity {};
};

/// Response to a request that the level does not cover.
struct RateRefused
{
    /// Time until the level suffices, provided that no other grant is made. Empty when the request
    /// exceeds the burst and can never be admitted.
    std::optional<Duration> retryAfter;
};

using GrantAnswer = std::variant<Granted, RateRefused>;

/// Token bucket of one organisation, or of one part of its rate, that is drawn on through grants.
///
/// Tokens count by the amount finally used, at the time of their admission. In every time window at
/// most burst + rate x window tokens are used, because
///
///     level + sum over grants of (free + credit) <= burst
///
/// holds at all times, where `free` is the part of a grant that its holder may still admit and
/// `credit` the part that its reservations may still refund. When the sum has reached the burst,
/// refill displaces credit: the oldest refundable tokens are counted as used, and the level rises
/// by their amount. `free` is never displaced, since the holder may still admit it.
///
/// A new home does not know the grants of its predecessor: it starts with level 0 and counts the
/// whole burst as outstanding until the longest grant has expired.
class RateHome
{
public:
    struct Settings
    {
        /// How long a holder may admit from a grant, counted from sending its request.
        Duration grantValidity = std::chrono::seconds(3);
        /// Time after which the free part of a grant not reported as closed counts as used.
        Duration grantExpiry = std::chrono::seconds(6);
        /// Time after which a grant is removed and its reservations can refund nothing.
        Duration reservationExpiry = std::chrono::minutes(10);
        /// Whether refill displaces credit; otherwise refill stops while exposure() equals the
        /// burst.
        bool displacesCredit = true;
    };

    /// Starts without a handover, after a predecessor that failed.
    RateHome(RateLimit limit, Settings settings, TimePoint now);

    /// Starts from the state that the predecessor handed over after its last grant.
    RateHome(RateLimit limit, Settings settings, const RateHandover &handover, TimePoint now);

    // Events.

    /// Handles a request for a grant.
    ///
    /// Reports that came with the request must be passed to noteReport() first.
    [[nodiscard]] GrantAnswer acquire(const GrantQuestion &question, TimePoint now);
    /// Applies a holder's report; a report on an unknown grant is ignored.
    void noteReport(const GrantReport &report, TimePoint now);
    /// Changes the limit.
    ///
    /// A lower burst reduces level and credit at once; the free part of grants remains until it is
    /// used or expires.
    void setLimit(RateLimit limit, TimePoint now);

    // Queries.

    /// \returns the state for the successor; this home must grant nothing afterwards
    [[nodiscard]] RateHandover handover(TimePoint now);

    /// \returns the tokens that could be granted now
    [[nodiscard]] Tokens level(TimePoint now);
    /// \returns level + free + credit, above the burst only after the burst was lowered
    [[nodiscard]] Tokens exposure() const;
    [[nodiscard]] std::size_t grantCount() const noexcept { return m_grants.size(); }

private:
    struct Grant
    {
        Granted granted;
        /// The highest counts of all reports received.
        GrantReport merged;
        /// Tokens that the holder may still admit.
        Tokens free = 0;
        /// Refundable tokens that refill has not displaced.
        Tokens credit = 0;
        /// Refundable tokens that refill has displaced.
        Tokens displaced = 0;
        TimePoint grantedAt;
    };

    /// Number of a grant, in the order of granting.
    using Sequence = std::uint64_t;
    using GrantMap = std::map<Sequence, Grant>;

    /// Applies refill and expiries up to `now`.
    void advance(TimePoint now);
    /// \returns the times up to `now` at which outstanding tokens expire, in ascending order
    [[nodiscard]] std::vector<TimePoint> expiriesUntil(TimePoint now) const;
    /// Counts tokens as used whose time has expired, and removes old grants.
    void expire(TimePoint now);
    void refill(TimePoint now);
    /// Adds up to `amount` tokens to the level by counting the oldest credit as used.
    void displace(Tokens amount);
    /// Subtracts consumed tokens from the displaced ones first, then from the credit.
    static void settleConsumed(Grant &grant, Tokens amount);
    /// Returns refunded tokens to the level unless refill has displaced them.
    void settleRefunded(Grant &grant, Tokens amount);
    /// Lowers the level by the amount by which exposure() exceeds the burst.
    void trimLevel();
    GrantMap::iterator erase(GrantMap::iterator it);
    /// \returns the free and refundable tokens of all grants, inherited ones included
    [[nodiscard]] Tokens outstanding() const;
    /// \returns the time until the level reaches `amount` by refill
    [[nodiscard]] std::optional<Duration> waitFor(Tokens amount) const;
    /// Converts elapsed time to whole tokens and carries the fraction over to the next call.
    [[nodiscard]] Tokens accrue(Duration elapsed);

    RateLimit m_limit;
    Settings m_settings;
    Tokens m_level = 0;
    /// Fraction of a token carried over between refills, in billionths.
    std::int64_t m_fraction = 0;
    /// Tokens that grants of the predecessor may still use.
    Tokens m_inherited = 0;
    TimePoint m_inheritedUntil;
    TimePoint m_refilledAt;
    GrantMap m_grants;
    std::map<GrantId, Sequence> m_index;
    Sequence m_nextSequence = 0;
};

} // namespace bluebell
