#pragma once

#include "entry/chathandler.h"
#include "entry/configview.h"
#include "entry/dispatcher.h"
#include "entry/filters.h"
#include "entry/rategate.h"
#include "entry/servicehandler.h"
#include "http/server.h"
#include "membership/drain.h"
#include "metrics/metrics.h"
#include "peer/peernode.h"

#include <boost/asio/io_context.hpp>

#include <optional>
#include <vector>

/// \file
/// The entry daemon: what callers talk to.

namespace bluebell::entry {

struct DaemonSettings
{
    VmId vm;
    Endpoint listen;
    Endpoint platform;
    /// The controller on this VM first.
    std::vector<Endpoint> controllers;
    ConfigReplica::Settings config;
    DrainController::Settings drain;
    HttpLimits http;
};

class Daemon
{
public:
    Daemon(boost::asio::io_context &context, DaemonSettings settings);

    /// Starts to serve.
    ///
    /// \returns the address for callers
    Result<Endpoint> start();

    /// Starts a graceful stop; a second call ends it at once.
    void requestStop();
    [[nodiscard]] bool stoppedGracefully() const noexcept
    {
        return m_drain.phase() == DrainPhase::Done;
    }

private:
    boost::asio::awaitable<void> handle(const HttpRequest &request, HttpResponder &responder);
    boost::asio::awaitable<void> chat(const HttpRequest &request, HttpResponder &responder);
    boost::asio::awaitable<void> service(const HttpRequest &request, HttpResponder &responder,
                                         RequestContext &context);
    [[nodiscard]] HttpResponse models(const HttpRequest &request) const;
    [[nodiscard]] HttpResponse entries(const HttpRequest &request) const;
    [[nodiscard]] HttpResponse readiness() const;
    [[nodiscard]] RequestContext makeContext(const HttpRequest &request);
    boost::asio::awaitable<void> refuse(const RequestContext &context, const Error &error,
                                        HttpResponder &responder);
    boost::asio::awaitable<void> drain();

    boost::asio::io_context &m_context;
    DaemonSettings m_settings;
    Metrics m_metrics;
    PeerNode m_peers;
    HttpServer m_server;
    DrainController m_drain;
    std::optional<ConfigView> m_config;
    std::optional<RateGate> m_gate;
    std::optional<Dispatcher> m_dispatcher;
    std::optional<ChatHandler> m_chat;
    std::optional<ServiceHandler> m_service;
    std::vector<Filter> m_filters;
    std::size_t m_active = 0;
};

} // namespace bluebell::entry
