#pragma once

#include "core/endpoint.h"
#include "core/time.h"
#include "http/server.h"
#include "io/notifier.h"
#include "standin/platformserver.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

/// \file
/// Stand-ins for engines and plain services that implement the platform's published protocol.

namespace bluebell::testing {

/// How a target continues a stream after the event that the request names.
enum class Resumption : std::uint8_t {
    Continues,
    /// Responds with status 500 and a text.
    Fails,
    /// Responds with status 404 and a text.
    IsUnknown,
    /// Responds with status 200 and a text that is no event stream.
    SendsText,
    /// Sends the complete stream again.
    RepeatsEvents,
    /// Omits the first event that is due.
    SkipsAnEvent,
};

/// Faults and timing of a target stand-in.
struct TargetBehaviour
{
    /// Closes the connection after reading a request, without a response.
    bool dropsRequests = false;
    /// Cuts a stream after this many events; 0 for complete streams.
    int cutAfterEvents = 0;
    /// Sends nothing for `silence` after this many events of a stream; 0 for steady streams.
    int silentAfterEvents = 0;
    Duration silence {};
    Resumption resumption = Resumption::Continues;
    /// Responds with the id of another attempt.
    bool usesWrongAttemptId = false;
    /// Responds without the id of the attempt.
    bool omitsAttemptId = false;
    /// Responds with this status and a valid signature after executing a request; 0 for success.
    unsigned failureStatus = 0;
    /// Refuses requests with status 503 and the header that says they were not executed.
    bool isFull = false;
    /// Requests with this part in their prompt end the target's process when their response is
    /// about to begin; empty for none.
    std::string deadlyPart;
    /// Time from such an end to the next run, which has another start time and address.
    Duration restartTime = std::chrono::milliseconds(300);
    /// Added to the time before a response.
    Duration headDelay {};
    /// Every response states that the target is leaving.
    bool isLeaving = false;
    /// Every call is answered with status 503 and this value of the header Retry-After; empty for
    /// none.
    std::string retryAfter;
    /// Whether such a response states that the call was not executed.
    bool statesNotRun = true;
    /// Time before a response, and after each event of a stream.
    Duration workDuration = std::chrono::milliseconds(2);
    /// Nothing is sent before this time; then the target goes on.
    TimePoint silentUntil {};
};

/// A step of a request at a target. Disconnected: the response could not be sent.
enum class TargetStep { Received, Refused, Executing, Finished, Disconnected };

using TargetObserver = std::function<void(TargetStep, const std::string &attempt)>;

/// An engine or a plain service, on a port of the loopback interface.
class TargetStandIn
{
public:
    TargetStandIn(boost::asio::io_context &context, standin::PlatformServer &store, std::string id,
                  std::string service);

    Endpoint listen();
    /// Writes the target's entry to the store.
    void publishEntry(const std::string &state = "ready");
    /// Stops accepting connections.
    void stop();
    /// Starts the process anew, after stop(), with another start time and address.
    void restart();

    /// Whether the target is an engine.
    bool isEngine = false;
    std::set<std::string> models;
    std::set<std::string> onDisk;
    /// Data centre in the target's entry.
    std::string zone = "leicester";
    /// Time for which the target is cold, in its entry.
    int coldLeftMs = 0;
    Duration loadTime = std::chrono::milliseconds(100);
    int events = 5;
    TargetBehaviour behaviour;
    /// Called for each step of each request; may be empty.
    TargetObserver observer;
    /// Start time of the target's process in its entry and reports.
    std::uint64_t startTimeMs = 1000;
    /// Calls of any kind that have arrived.
    std::size_t calls = 0;
    /// Ids of the executed attempts, in order.
    std::vector<std::string> runs;
    /// Ends of the process by a deadly part.
    std::size_t crashes = 0;
    /// Number of requests that were refused because the target is full.
    std::size_t refusals = 0;
    /// Headers of the last executed request.
    std::vector<HttpHeader> lastHeaders;
    /// Accepted orders, as `load MODEL` or `unload MODEL`.
    std::vector<std::string> orders;

private:
    boost::asio::awaitable<void> handle(const HttpRequest &request, HttpResponder &responder);
    boost::asio::awaitable<void> run(const HttpRequest &request, HttpResponder &responder);
    boost::asio::awaitable<void> stream(const HttpRequest &request, HttpResponse head,
                                        HttpResponder &responder);
    boost::asio::awaitable<void> awaitEndOfSilence();
    void createServer();
    [[nodiscard]] bool isDeadly(const HttpRequest &request) const;
    /// Ends the process, with all its connections, and starts it again later.
    void crash();
    void notify(TargetStep step, const std::string &attempt) const;
    /// Changes the response to a request that resumes a stream.
    ///
    /// \returns whether the stream continues
    [[nodiscard]] bool resume(HttpResponse &response) const;
    /// \returns the id of the first event that is sent
    [[nodiscard]] int firstEvent(const HttpRequest &request) const;
    HttpResponse acceptOrder(const std::string &body);
    /// Adds the headers by which the target states that it is leaving, or when it may be called.
    void addNotices(HttpResponse &response) const;
    [[nodiscard]] HttpResponse holdOff(const HttpRequest &request) const;
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
/// (non-idempotent), `/look/` (idempotent), `/open/` (idempotent, no key needed). The key `key-1`
/// belongs to the organisation `leicester-hifi`.
[[nodiscard]] nlohmann::json siteConfig(std::uint64_t version, int models = 3);

} // namespace bluebell::testing
