#pragma once

#include "core/endpoint.h"
#include "core/time.h"
#include "http/server.h"
#include "io/notifier.h"
#include "standin/platformserver.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <memory>
#include <set>
#include <string>
#include <vector>

/// \file
/// Stand-ins of engines and plain services that speak the users' platform's published protocol.

namespace bluebell::testing {

/// How a target treats the requests that it gets.
struct TargetBehaviour
{
    /// Reads the request, then closes the connection without an answer.
    bool dropsRequests = false;
    /// Ends a stream after so many events without its end; 0 for whole streams.
    int cutsAfter = 0;
    /// Answers with another attempt's id.
    bool answersForeign = false;
    /// Answers 500 of its own.
    bool fails = false;
    /// Refuses as full.
    bool isFull = false;
    Duration work = std::chrono::milliseconds(2);
};

/// An engine or a plain service.
class TargetStandIn
{
public:
    TargetStandIn(boost::asio::io_context &context, standin::PlatformServer &store, std::string id,
                  std::string service);

    Endpoint listen();
    /// Writes the target's entry into the store.
    void announce(const std::string &state = "ready");
    /// Accepts no connection any more.
    void stop();

    /// Set for engines.
    bool isEngine = false;
    std::set<std::string> models;
    std::set<std::string> onDisk;
    Duration loadTime = std::chrono::milliseconds(100);
    int events = 5;
    TargetBehaviour behaviour;
    /// Ids of the attempts that ran, in order.
    std::vector<std::string> runs;
    /// Headers of the last request.
    std::vector<HttpHeader> lastHeaders;
    /// Orders that were accepted, as `load MODEL` or `unload MODEL`.
    std::vector<std::string> orders;

private:
    boost::asio::awaitable<void> answer(const HttpRequest &request, HttpResponder &responder);
    boost::asio::awaitable<void> run(const HttpRequest &request, HttpResponder &responder);
    boost::asio::awaitable<void> stream(const HttpRequest &request, HttpResponse head,
                                        HttpResponder &responder);
    HttpResponse takeOrder(const std::string &body);
    [[nodiscard]] nlohmann::json state() const;

    boost::asio::io_context &m_context;
    standin::PlatformServer &m_store;
    std::string m_id;
    std::string m_service;
    std::unique_ptr<HttpServer> m_server;
    Endpoint m_address;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_heartbeat = 0;
    bool m_isBusy = false;
};

/// \returns a configuration with one engine service and one plain service
///
/// Routes: `/chat/` (stream, not resumable), `/review/` (stream, resumable), `/order/`
/// (non-idempotent), `/look/` (idempotent), `/open/` (idempotent, without a key). The key `key-1`
/// belongs to the organisation `leicester-hifi`.
[[nodiscard]] nlohmann::json siteConfig(std::uint64_t version, int models = 3);

} // namespace bluebell::testing
