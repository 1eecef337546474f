#pragma once

#include "controller/configsync.h"
#include "controller/placementservice.h"
#include "controller/ratehomes.h"
#include "controller/rolekeeper.h"
#include "membership/drain.h"
#include "peer/peernode.h"

#include <boost/asio/io_context.hpp>

#include <vector>

/// \file
/// The controller daemon: everything that decides about state, on every entry VM.

namespace bluebell::controller {

struct DaemonSettings
{
    VmId vm;
    Endpoint listen;
    Endpoint platform;
    std::vector<Endpoint> seeds;
    LeaseSettings lease;
    ConfigReplica::Settings config;
    RateHome::Settings rate;
    LoadPlanner::Settings placement;
};

class Daemon
{
public:
    Daemon(boost::asio::io_context &context, DaemonSettings settings);

    /// Starts to answer and to work.
    ///
    /// \returns the address of the peer interface
    Result<Endpoint> start();

    /// Hands everything over and stops the context; a second call stops it at once.
    void requestStop();

    /// \returns whether the stop was graceful
    [[nodiscard]] bool stoppedGracefully() const noexcept { return m_stoppedGracefully; }

private:
    boost::asio::awaitable<PeerAnswer> handle(PeerQuestion question);
    boost::asio::awaitable<PeerAnswer> answer(SyncQuestion question);
    boost::asio::awaitable<PeerAnswer> answer(AcquireQuestion question);
    boost::asio::awaitable<PeerAnswer> answer(WantQuestion question);
    boost::asio::awaitable<PeerAnswer> answer(WithdrawQuestion question);
    boost::asio::awaitable<PeerAnswer> answer(StatusQuestion question);
    boost::asio::awaitable<PeerAnswer> answer(DrainQuestion question);
    boost::asio::awaitable<void> passOnRules();
    boost::asio::awaitable<void> leave();
    [[nodiscard]] std::set<RoleId> wantedRoles() const;

    boost::asio::io_context &m_context;
    DaemonSettings m_settings;
    PeerNode m_peers;
    std::optional<RoleKeeper> m_roles;
    std::optional<ConfigSync> m_config;
    std::optional<RateHomes> m_rates;
    std::optional<PlacementService> m_placement;
    bool m_isStopping = false;
    bool m_stoppedGracefully = false;
};

} // namespace bluebell::controller
