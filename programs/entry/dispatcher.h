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
/// Queues chat requests for each replica and assigns them to targets that hold the replica.

namespace bluebell::entry {

/// A slot at a target, taken by one request.
struct Assignment
{
    ReplicaKey replica;
    TargetId target;
    Endpoint address;
};

/// How an attempt at a target ended.
enum class AttemptResult : std::uint8_t {
    /// The target is healthy; the attempt completed or was cancelled on this side.
    Succeeded,
    /// The target could not be reached, stopped sending or sent an invalid stream.
    Failed,
    /// The target does not hold the replica any more or is leaving; the attempt did not run.
    Refused,
};

/// Holds one request queue for each replica and learns from the placement leader which targets hold
/// the replica.
class Dispatcher
{
public:
    Dispatcher(boost::asio::any_io_executor executor, PeerNode &peers, const ConfigView &config,
               Metrics &metrics, VmId self);

    /// Removes queued requests whose deadline has passed or whose key was withdrawn, and assigns
    /// queued requests to free targets, until stop() is called.
    boost::asio::awaitable<void> run();
    void stop() noexcept { m_isStopping = true; }

    /// Queues a request until a target that holds its replica has a free slot.
    ///
    /// \returns the assignment, which must be passed to release(); Overloaded, DeadlineExceeded or
    ///          KeyWithdrawn when the request gets none
    boost::asio::awaitable<Result<Assignment>> acquire(const RequestContext &context);

    /// Frees the slot of `assignment`.
    ///
    /// \param served tokens that the attempt delivered
    void release(const Assignment &assignment, const RequestContext &context, AttemptResult result,
                 Tokens served);

    /// Assigns a request to another target than `current`, or else to `current` again, if it can
    /// take the request without waiting in the queue.
    ///
    /// \returns the assignment, to be given back with release(), or nothing
    [[nodiscard]] std::optional<Assignment> tryAcquire(const RequestContext &context,
                                                       const TargetId &current);

    /// \returns the number of queued and running requests
    [[nodiscard]] std::size_t load() const noexcept { return m_tickets.size() + m_running; }

private:
    /// A queued request whose acquire() call waits for the outcome.
    struct Ticket
    {
        Notifier assigned;
        KeyDigest key;
        ReplicaKey replica;
        /// Set when the request has been assigned or has failed.
        std::optional<Result<Assignment>> outcome;
    };

    struct ReplicaState
    {
        RequestQueue queue;
        /// Targets that hold the replica.
        std::set<TargetId> resident;
        /// Running requests of this entry.
        std::map<OrganisationId, std::uint32_t> running;
        TimePoint lastUsed;
        /// Whether watch() runs for the replica.
        bool isWatched = false;
    };

    [[nodiscard]] ReplicaState &state(const ReplicaKey &key);
    /// Assigns queued requests of one replica while the router finds a free target.
    void dispatchQueue(const ReplicaKey &key);
    void dispatchAllQueues();
    /// Counts a request that runs at a target from now on.
    void noteAssigned(ReplicaState &state, const TargetId &target,
                      const OrganisationId &organisation);
    /// Requests a new report of a target unless one is on its way.
    void requestReport(const TargetId &target);
    void assign(ReplicaState &state, const ReplicaKey &key, const TargetId &target);
    void fail(TicketId ticket, Error error);
    void expire(TimePoint now);
    /// Fails queued requests whose key is not valid any more.
    void revalidate(TimePoint now);
    void startWatching(const ReplicaKey &key);
    /// Long-polls the placement leader: sends the demand for a replica and receives the targets
    /// that hold it.
    boost::asio::awaitable<void> watch(ReplicaKey key);
    /// Fetches a target's load report for the router.
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
    /// Targets whose report is being fetched.
    std::set<TargetId> m_refreshing;
    TicketId m_nextTicket = 1;
    std::size_t m_running = 0;
    bool m_isStopping = false;
};

} // namespace bluebell::entry
