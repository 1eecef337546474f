#pragma once

#include "gateway/conductor.h"
#include "gateway/relay.h"
#include "gateway/sitestate.h"
#include "gateway/storewatch.h"
#include "http/server.h"
#include "peer/statuslink.h"

#include <boost/asio/io_context.hpp>

/// \file
/// The gateway daemon: one process on every VM, in front of all targets.

namespace bluebell::gateway {

class Daemon
{
public:
    Daemon(boost::asio::io_context &context, GatewaySettings settings);

    /// Binds all addresses and starts to work.
    ///
    /// \returns the address for callers, or Unavailable
    Result<Endpoint> start();

    /// Puts changed settings into force.
    void noteSettings(const GatewaySettings &settings);

    /// Begins a planned stop; a second call ends it at once.
    void requestStop();

    [[nodiscard]] bool stoppedGracefully() const noexcept { return m_stoppedGracefully; }

private:
    boost::asio::awaitable<void> answerSystem(const HttpRequest &request, HttpResponder &responder);
    boost::asio::awaitable<void> answerControl(const HttpRequest &request,
                                               HttpResponder &responder);
    boost::asio::awaitable<void> sendStatuses();
    /// Tells the holder of the role at once that requests wait.
    boost::asio::awaitable<void> sendDemand();
    /// Says when the VM stood still or the time of day jumped.
    boost::asio::awaitable<void> watchClocks();
    boost::asio::awaitable<void> stop();
    void noteConfig();

    boost::asio::io_context &m_context;
    SiteState m_state;
    StoreWatch m_watch;
    Conductor m_conductor;
    Relay m_relay;
    StatusLink m_link;
    HttpServer m_callers;
    HttpServer m_readiness;
    HttpServer m_directory;
    HttpServer m_control;
    bool m_stoppedGracefully = false;
};

} // namespace bluebell::gateway
