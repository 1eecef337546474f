#pragma once

#include "entry/chathandler.h"
#include "entry/configview.h"
#include "entry/dispatcher.h"
#include "entry/filters.h"
#include "entry/ratelimiter.h"
#include "entry/servicehandler.h"
#include "http/server.h"
#include "membership/drain.h"
#include "metrics/metrics.h"
#include "peer/peernode.h"

#include <boost/asio/io_context.hpp>

#include <optional>
#include <vector>

/// \file
/// The entry daemon, which serves callers over HTTP.

namespace bluebell::entry {

/// Settings of an entry daemon.
struct DaemonSettings
{
    VmId vm;
    /// Address on which callers are served.
    Endpoint listen;
    /// Address of the platform's table service.
    Endpoint platform;
    /// Peer addresses of controllers, the one on this VM first.
    std::vector<Endpoint> controllers;
    ConfigReplica::Settings config;
    DrainController::Settings drain;
    HttpLimits http;
};

/// Routes HTTP requests to the chat and service handlers and drains them on a stop.
class Daemon
{
public:
    Daemon(boost::asio::io_context &context, DaemonSettings settings);

    /// Starts listening and the background tasks.
    ///
    /// \returns the address in use, or Unavailable
    Result<Endpoint> start();

    /// Starts a graceful stop. A second call stops the event loop immediately.
    void requestStop();
    /// \returns whether the drain completed: every request ended before the deadline
    [[nodiscard]] bool stoppedGracefully() const noexcept
    {
        return m_drain.phase() == DrainPhase::Done;
    }

private:
    boost::asio::awaitable<void> handle(const HttpRequest &request, HttpResponder &responder);
    boost::asio::awaitable<void> handleChat(const HttpRequest &request, HttpResponder &responder);
    boost::asio::awaitable<void> handleService(const HttpRequest &request, HttpResponder &responder,
                                               RequestContext &context);
    [[nodiscard]] HttpResponse listModels(const HttpRequest &request) const;
    [[nodiscard]] HttpResponse listEntries(const HttpRequest &request) const;
    [[nodiscard]] HttpResponse readiness() const;
    [[nodiscard]] RequestContext makeContext(const HttpRequest &request);
    /// Sends an error response and counts the request.
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
    std::optional<RateLimiter> m_rateLimiter;
    std::optional<Dispatcher> m_dispatcher;
    std::optional<ChatHandler> m_chat;
    std::optional<ServiceHandler> m_service;
    std::vector<Filter> m_filters;
    /// Requests that are being handled.
    std::size_t m_activeRequests = 0;
};

} // namespace bluebell::entry
