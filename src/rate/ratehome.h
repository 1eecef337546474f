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
/// The home of an organisation's rate: hands out grants so that the bound holds over all VMs.

namespace bluebell {

/// The rate and burst that a bucket enforces.
struct RateLimit
{
    /// Tokens per second.
    Tokens rate = 0;
    Tokens burst = 0;
};

/// What a holder tells the home about one of its grants. All counts rise only, so that a report may
/// be repeated or overtaken.
struct GrantReport
{
    GrantId id;
    /// Tokens reserved out of the grant so far.
    Tokens admitted = 0;
    /// Tokens of settled reservations that were really used.
    Tokens consumed = 0;
    /// Tokens of settled reservations that were not used.
    Tokens refunded = 0;
    /// The holder admits nothing more from the grant; what is left of it goes back.
    bool isClosed = false;
};

/// A question for a grant.
struct GrantQuestion
{
    /// Chosen by the asker; a repeated question carries the same id and gets the same grant.
    GrantId id;
    /// The least that is of use, the size of the request that waits.
    Tokens least = 0;
    /// What the asker would like to have.
    Tokens wanted = 0;
};

/// Tokens that the asker may admit until `validity` after it sent its question.
struct Granted
{
    GrantId id;
    Tokens amount = 0;
    Duration validity {};
};

/// A refusal, with the time after which the level suffices if nobody else takes it.
struct RateRefused
{
    /// Empty when the request is larger than the burst and can never be admitted.
    std::optional<Duration> retryAfter;
};

using GrantAnswer = std::variant<Granted, RateRefused>;

/// Decides on grants of one organisation.
///
/// Counted are tokens really used, at the time of their admission. For every window the admitted
/// tokens are at most burst + rate x window, because
///
///     level + sum over grants of (free + credit) <= burst
///
/// holds at all times, where `free` is what the holder may still admit and `credit` what
/// reservations may still give back. At that cap, refill takes the place of credit: the oldest
/// refundable tokens are counted as used, and the level rises in their stead. `free` is never
/// displaced, since the holder may still spend it.
///
/// A new home knows nothing of what the former one granted: it starts with level 0 and counts the
/// whole burst as outstanding until the longest grant has lapsed.
class RateHome
{
public:
    struct Settings
    {
        Duration grantValidity = std::chrono::seconds(3);
        /// Time after which a grant that was never reported closed counts as used.
        Duration grantLapse = std::chrono::seconds(6);
        /// Time after which reservations of a closed grant give nothing back.
        Duration reservationLapse = std::chrono::minutes(10);
        /// Whether refill may take the place of refundable credit at the cap.
        bool displacesCredit = true;
    };

    /// Starts without knowledge of a former home.
    RateHome(RateLimit limit, Settings settings, TimePoint now);

    /// Starts from what the former home passed on after its last grant.
    RateHome(RateLimit limit, Settings settings, const RateHandover &handover, TimePoint now);

    // Events.

    /// Answers a question; reports must be noted before.
    [[nodiscard]] GrantAnswer ask(const GrantQuestion &question, TimePoint now);
    void noteReport(const GrantReport &report, TimePoint now);
    /// Changes the limit. A lowered burst takes away level and credit at once; grants run out.
    void setLimit(RateLimit limit, TimePoint now);

    // Questions.

    /// \returns what a successor needs; this home must grant nothing afterwards
    [[nodiscard]] RateHandover handover(TimePoint now);

    /// \returns the tokens that could be granted now
    [[nodiscard]] Tokens level(TimePoint now);
    /// \returns level + free + credit, never above the burst but after a lowered burst
    [[nodiscard]] Tokens exposure() const;
    [[nodiscard]] std::size_t grantCount() const noexcept { return m_grants.size(); }

private:
    struct Grant
    {
        Granted granted;
        GrantReport known;
        Tokens free = 0;
        /// Refundable tokens that refill has not displaced.
        Tokens credit = 0;
        /// Refundable tokens that refill has displaced.
        Tokens displaced = 0;
        TimePoint madeAt;
    };

    /// Numbers grants in the order in which they were made.
    using Sequence = std::uint64_t;
    using GrantMap = std::map<Sequence, Grant>;

    void advance(TimePoint now);
    /// \returns the times up to `now` at which outstanding tokens lapse, in order
    [[nodiscard]] std::vector<TimePoint> lapsesUntil(TimePoint now) const;
    void expire(TimePoint now);
    void refill(TimePoint now);
    /// Moves up to `amount` tokens from the oldest credit into the level.
    void displace(Tokens amount);
    static void settleConsumed(Grant &grant, Tokens amount);
    void settleRefunded(Grant &grant, Tokens amount);
    /// Takes from the level what is above the burst together with what is out.
    void trimLevel();
    GrantMap::iterator erase(GrantMap::iterator it);
    [[nodiscard]] Tokens outstanding() const;
    [[nodiscard]] std::optional<Duration> waitFor(Tokens amount) const;
    /// Turns elapsed time into whole tokens; keeps the fraction for the next call.
    [[nodiscard]] Tokens refilled(Duration elapsed);

    RateLimit m_limit;
    Settings m_settings;
    Tokens m_level = 0;
    /// Refill that does not yet make a whole token, in billionths of a token.
    std::int64_t m_fraction = 0;
    /// Grants of a former home that may still be out.
    Tokens m_unknown = 0;
    TimePoint m_unknownUntil;
    TimePoint m_refilledAt;
    GrantMap m_grants;
    std::map<GrantId, Sequence> m_index;
    Sequence m_nextSequence = 0;
};

} // namespace bluebell
