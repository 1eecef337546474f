#pragma once

#include "gateway/gatewaystate.h"
#include "gateway/peersync.h"
#include "gateway/placementcoordinator.h"
#include "gateway/quarantineservice.h"
#include "gateway/relayservice.h"
#include "gateway/requestproxy.h"
#include "gateway/storewatch.h"
#include "http/server.h"
#include "peer/statuslink.h"

#include <boost/asio/io_context.hpp>

#include <random>

/// \file
/// The gateway daemon, which runs as one process on every entry VM.

namespace bluebell::gateway {

/// Owns the servers, the state and the background tasks of a gateway process.
class Daemon
{
public:
    Daemon(boost::asio::io_context &context, GatewaySettings settings);

    /// Binds all addresses and starts the background tasks.
    ///
    /// \returns the address for callers, or Unavailable
    Result<Endpoint> start();

    /// Applies changed settings. Changed listen addresses and VM names need a restart.
    void applySettings(const GatewaySettings &settings);

    /// Starts a graceful stop. A second call stops the event loop immediately.
    void requestStop();

    /// \returns whether the daemon has stopped without cutting off a request
    [[nodiscard]] bool stoppedGracefully() const noexcept { return m_stoppedGracefully; }

private:
    /// Answers the readiness and address lookup endpoints.
    boost::asio::awaitable<void> handleSystemRequest(const HttpRequest &request,
                                                     HttpResponder &responder);
    /// Answers peers' fetches and metrics scrapes.
    boost::asio::awaitable<void> handleControlRequest(const HttpRequest &request,
                                                      HttpResponder &responder);
    /// \returns the daemons that get this one's status, apart from the leader: all in a small
    /// fleet; in a large one those without relays and, from the leader, the relays
    [[nodiscard]] std::vector<Endpoint> statusRecipients(bool isLeader, TimePoint now) const;
    boost::asio::awaitable<void> sendStatuses();
    /// Sends a status to the leader as soon as a request starts to wait for a model.
    boost::asio::awaitable<void> sendDemand();
    /// Logs suspensions of the VM, stalls of the daemon and jumps of the system time.
    boost::asio::awaitable<void> watchClocks();
    boost::asio::awaitable<void> stop();
    void applyConfig();

    boost::asio::io_context &m_context;
    GatewayState m_state;
    SiteUpdates m_updates;
    QuarantineService m_quarantine;
    StoreWatch m_storeWatch;
    PeerSync m_peerSync;
    RelayService m_relayService;
    PlacementCoordinator m_coordinator;
    RequestProxy m_proxy;
    StatusLink m_link;
    HttpServer m_callerServer;
    HttpServer m_readinessServer;
    HttpServer m_directoryServer;
    HttpServer m_controlServer;
    /// Spreads callers over the daemons.
    std::mt19937_64 m_random { std::random_device()() };
    bool m_stoppedGracefully = false;
};

} // namespace bluebell::gateway
