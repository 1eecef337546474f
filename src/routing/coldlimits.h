#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "site/targetregistry.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>

/// \file
/// Limits the requests to targets that have just started and crash under a normal load.

namespace bluebell {

/// Which daemons may send to a cold target, and how often each.
struct ColdShares
{
    /// Number of daemons that may send.
    std::size_t senders = 0;
    /// Requests that each of them may send in any one second.
    std::uint32_t perSender = 0;
};

/// Divides a cold target's rate among the daemons.
///
/// A daemon whose view of the fleet lacks others ranks itself higher than it is, so that more
/// daemons send than are meant to. `senders` leaves room for MaxViewDifference of them.
///
/// \param rate requests per second that the target stands
/// \param daemons number of registered daemons
[[nodiscard]] ColdShares coldSharesOf(double rate, std::size_t daemons);

/// Decides how many requests this daemon may send to cold targets.
///
/// The daemons can't agree on each request: a request takes less time than a message. Each daemon
/// therefore ranks the registered daemons by a hash of the target; only the first few may send, a
/// whole number of requests in any Window. The sum over all daemons stays within the target's rate
/// as long as their views differ by no more than MaxViewDifference daemons.
class ColdLimits
{
public:
    /// Daemons by which two views of the fleet may differ without exceeding a target's rate.
    static constexpr std::size_t MaxViewDifference = 4;
    /// Time in which the sends are counted: a second, and the time in which a connection may be
    /// made, so that delayed requests do not arrive together with later ones.
    static constexpr Duration Window = std::chrono::milliseconds(1250);
    /// Time within which a change of the daemons' rows reaches all daemons. While more than
    /// MaxViewDifference rows have changed in it, and after the first list, nothing is sent.
    static constexpr Duration SettleTime = std::chrono::seconds(3);

    explicit ColdLimits(VmId self) : m_self(std::move(self)) { }

    // Events.

    /// Sets the rates of the services whose cold targets have a limit.
    void setRates(std::map<ServiceId, double> rates);
    /// Sets the registered daemons, this one included.
    void setDaemons(std::set<VmId> daemons, TimePoint now);
    /// Notes that a request is sent to `target`.
    void noteSent(const TargetEntry &target, TimePoint now);

    // Queries.

    /// \returns whether a request may be sent to `target` as far as its cold period is concerned
    [[nodiscard]] bool maySend(const TargetEntry &target, TimePoint now) const
    {
        return !blockedUntil(target, now);
    }
    /// \returns when this daemon may send to `target` if it may not now: at the end of the cold
    /// period, or earlier when one of its sends no longer counts
    [[nodiscard]] std::optional<TimePoint> blockedUntil(const TargetEntry &target,
                                                        TimePoint now) const;

private:
    /// \returns the requests that this daemon may send to the target in any Window
    [[nodiscard]] std::uint32_t shareOf(const TargetEntry &target, double rate,
                                        TimePoint now) const;
    [[nodiscard]] bool isSettled(TimePoint now) const;
    /// \returns whether this daemon is among the first `senders` in the ranking of the target
    [[nodiscard]] bool isSender(const TargetId &target, std::size_t senders) const;

    VmId m_self;
    std::map<ServiceId, double> m_rates;
    std::set<VmId> m_daemons;
    /// When the first list of daemons was received.
    std::optional<TimePoint> m_knownSince;
    /// When daemons were added or removed, the latest last.
    std::deque<TimePoint> m_changes;
    /// Sends to cold targets, the latest last.
    std::map<TargetId, std::deque<TimePoint>> m_sends;
};

} // namespace bluebell
