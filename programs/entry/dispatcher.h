#pragma once

#include "entry/configview.h"
#include "entry/requestcontext.h"
#include "io/notifier.h"
#include "metrics/metrics.h"
#include "peer/peernode.h"
#include "queue/requestqueue.h"
#include "routing/router.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>

/// \file
/// Queues requests for a replica and assigns them to targets that hold it.

namespace bluebell::entry {

/// A target that has a place for one request.
struct Assignment
{
    ReplicaKey replica;
    TargetId target;
    Endpoint address;
};

/// How a target dealt with a request.
enum class AttemptResult : std::uint8_t {
    Succeeded,
    /// The target could not be reached or went silent.
    Failed,
    /// The target does not hold the replica any more, or is leaving.
    Refused,
};

class Dispatcher
{
public:
    Dispatcher(boost::asio::any_io_executor executor, PeerNode &peers, const ConfigView &config,
               Metrics &metrics, VmId self);

    /// Expires and revalidates waiting requests until stop() is called.
    boost::asio::awaitable<void> run();
    void stop() noexcept { m_isStopping = true; }

    /// Waits for a target that holds the request's replica.
    ///
    /// \returns the assignment, which must be given back by release(); Overloaded,
    ///          DeadlineExceeded or KeyWithdrawn when there will be none
    boost::asio::awaitable<Result<Assignment>> acquire(const RequestContext &context);

    /// Gives a place back.
    void release(const Assignment &assignment, const RequestContext &context, AttemptResult result,
                 Tokens served);

    /// \returns requests that wait or run
    [[nodiscard]] std::size_t load() const noexcept { return m_tickets.size() + m_running; }

private:
    struct Ticket
    {
        Notifier assigned;
        KeyDigest key;
        ReplicaKey replica;
        std::optional<Result<Assignment>> outcome;
    };

    struct ReplicaState
    {
        RequestQueue queue;
        std::set<TargetId> resident;
        std::map<OrganisationId, std::uint32_t> running;
        TimePoint lastUsed;
        bool isWatched = false;
    };

    [[nodiscard]] ReplicaState &state(const ReplicaKey &key);
    void pump(const ReplicaKey &key);
    void pumpAll();
    void assign(ReplicaState &state, const ReplicaKey &key, const TargetId &target);
    void fail(TicketId ticket, Error error);
    void expire(TimePoint now);
    void revalidate(TimePoint now);
    void startWatching(const ReplicaKey &key);
    boost::asio::awaitable<void> watch(ReplicaKey key);
    boost::asio::awaitable<void> refreshReport(TargetId target);
    [[nodiscard]] std::vector<Demand> demandOf(const ReplicaState &state, TimePoint now) const;

    boost::asio::any_io_executor m_executor;
    PeerNode &m_peers;
    const ConfigView &m_config;
    Metrics &m_metrics;
    VmId m_self;
    Router m_router;
    std::map<ReplicaKey, ReplicaState> m_states;
    std::map<TicketId, std::shared_ptr<Ticket>> m_tickets;
    std::set<TargetId> m_refreshing;
    TicketId m_nextTicket = 1;
    std::size_t m_running = 0;
    bool m_isStopping = false;
};

} // namespace bluebell::entry
