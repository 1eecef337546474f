#pragma once

#include "controller/configsync.h"
#include "controller/placementservice.h"
#include "controller/ratehomes.h"
#include "controller/rolemanager.h"
#include "membership/drain.h"
#include "peer/peernode.h"

#include <boost/asio/io_context.hpp>

#include <vector>

/// \file
/// The controller daemon, which runs on every entry VM. It synchronises the configuration, claims
/// roles, grants rate tokens and plans the placement of replicas.

namespace bluebell::controller {

struct DaemonSettings
{
    VmId vm;
    /// Address of the peer interface.
    Endpoint listen;
    /// Address of the platform's services, among them the table service.
    Endpoint platform;
    /// Other controllers to contact in addition to those found in the table service.
    std::vector<Endpoint> seeds;
    LeaseSettings lease;
    ConfigReplica::Settings config;
    RateHome::Settings rate;
    LoadPlanner::Settings placement;
};

/// Owns the services of the controller and dispatches peer requests to them.
class Daemon
{
public:
    Daemon(boost::asio::io_context &context, DaemonSettings settings);

    /// Starts the peer interface and all services.
    ///
    /// \returns the address of the peer interface
    Result<Endpoint> start();

    /// Hands over all roles except base shares, then stops the event loop. A second call stops it
    /// immediately.
    void requestStop();

    /// \returns whether leave() completed before the event loop stopped, even if the handover of a
    ///          role failed
    [[nodiscard]] bool stoppedGracefully() const noexcept { return m_stoppedGracefully; }

private:
    boost::asio::awaitable<PeerAnswer> handle(PeerQuestion question);
    boost::asio::awaitable<PeerAnswer> answer(SyncQuestion question);
    boost::asio::awaitable<PeerAnswer> answer(AcquireQuestion question);
    boost::asio::awaitable<PeerAnswer> answer(WantQuestion question);
    boost::asio::awaitable<PeerAnswer> answer(WithdrawQuestion question);
    boost::asio::awaitable<PeerAnswer> answer(StatusQuestion question);
    boost::asio::awaitable<PeerAnswer> answer(DrainQuestion question);
    /// Passes changed rules to the other services until the daemon stops.
    boost::asio::awaitable<void> distributeRules();
    /// Stops the services, hands over the roles and stops the event loop.
    boost::asio::awaitable<void> leave();
    /// \returns all roles that the current rules define
    [[nodiscard]] std::set<RoleId> wantedRoles() const;

    boost::asio::io_context &m_context;
    DaemonSettings m_settings;
    PeerNode m_peers;
    std::optional<RoleManager> m_roles;
    std::optional<ConfigSync> m_config;
    std::optional<RateHomes> m_rates;
    std::optional<PlacementService> m_placement;
    bool m_isStopping = false;
    bool m_stoppedGracefully = false;
};

} // namespace bluebell::controller
