#pragma once

#include "gateway/gatewaystate.h"
#include "gateway/request.h"
#include "http/client.h"
#include "http/server.h"
#include "queue/waitdecision.h"
#include "streams/eventsplitter.h"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <memory>
#include <set>

/// \file
/// Proxies callers' requests to targets: authentication, rate limiting, target selection, retries.

namespace bluebell::gateway {

/// Local state of an organisation's token bucket at the moment a request was rejected.
struct RateLimitDetails
{
    Tokens requested = 0;
    Tokens level = 0;
    /// Registered daemons.
    std::size_t daemons = 0;
    /// Daemons whose statuses, and so whose admitted counts, arrive.
    std::size_t liveDaemons = 0;
};

/// How much of a response the caller's connection has taken.
enum class Delivery : std::uint8_t {
    /// A complete response, which may be an error.
    Complete,
    /// The beginning of a response; the connection is closed after it.
    Truncated,
    /// Nothing; the connection is closed without a response.
    None,
};

/// State of one request while it is processed.
struct RequestContext
{
    const HttpRequest *http = nullptr;
    CallerRequest caller;
    /// Configuration that applies to the request; newer versions do not affect it.
    std::shared_ptr<const SiteIndex> index;
    const Route *route = nullptr;
    const Service *service = nullptr;
    /// Empty on routes that need no key.
    OrganisationId organisation;
    int priority = 5;
    TimePoint receivedAt;
    /// Time by which the caller must have its complete response.
    TimePoint deadline;
    /// Cancelled when the caller disconnects or its key is withdrawn.
    std::shared_ptr<CancelSource> cancel;
    bool isKeyWithdrawn = false;
    /// Tokens taken from the organisation's rate limit.
    Tokens reserved = 0;
    /// Set when the rate limit rejected the request.
    std::optional<RateLimitDetails> rateDetails;
    /// Attempts that the target started, or may have started, to execute.
    std::uint32_t runs = 0;
    /// Attempts, including those that failed to connect.
    std::uint32_t sends = 0;
    /// Targets that are skipped in the next selection.
    std::set<TargetId> triedTargets;
    /// Total time spent waiting for a target.
    Duration waited {};
    /// Whether the response head has been sent to the caller.
    bool hasStartedResponse = false;
    /// When the latest chunk of a stream was sent to the caller.
    std::optional<TimePoint> lastChunkAt;
    /// Splits the stream, so that the caller gets complete events only.
    EventSplitter events;
    TargetId lastTarget;
};

/// Result of one attempt at a target.
enum class AttemptOutcome : std::uint8_t {
    /// The caller has received the complete response.
    Answered,
    /// No byte of the request was sent.
    NotSent,
    /// The target refused the request without executing it.
    NotRun,
    /// The request may have been executed, but there is no valid response.
    Failed,
    /// The caller has disconnected, or a response that has begun cannot be completed.
    Undeliverable,
};

/// Handles the requests on the address for callers.
class RequestProxy
{
public:
    explicit RequestProxy(GatewayState &state) : m_state(state) { }

    /// Processes one request and sends the response.
    [[nodiscard]] boost::asio::awaitable<void> handle(const HttpRequest &request,
                                                      HttpResponder &responder);

    /// Ends requests whose key is no longer valid in the new configuration.
    ///
    /// Requests that were not sent to a target are cancelled immediately. The deadline of the
    /// others is cut to three quarters of their time, but not below a grace period.
    void applyConfig();

    /// \returns number of requests that wait or run
    [[nodiscard]] std::size_t requestCount() const noexcept { return m_active.size(); }

private:
    using ActiveId = std::uint64_t;

    struct AttemptResult
    {
        AttemptOutcome outcome = AttemptOutcome::NotRun;
        Error error;
    };

    /// Determines route, organisation, service and deadline.
    [[nodiscard]] Result<void> resolveRequest(RequestContext &it) const;
    [[nodiscard]] Result<void> reserveRate(RequestContext &it);
    boost::asio::awaitable<Result<void>> serve(RequestContext &it, HttpResponder &responder);
    boost::asio::awaitable<Result<TargetId>> awaitTarget(RequestContext &it);
    /// Tries once to select a target.
    ///
    /// \param wait id of the request's entry in the demand statistics, if it has one
    /// \returns the target, the error that ends the request, or nothing if the request keeps
    /// waiting
    [[nodiscard]] std::optional<Result<TargetId>>
    selectTarget(RequestContext &it, std::optional<WaitId> &wait, TimePoint now);
    boost::asio::awaitable<AttemptResult> attempt(RequestContext &it, TargetId target,
                                                  HttpResponder &responder);
    boost::asio::awaitable<AttemptResult> relayResponse(RequestContext &it, const TargetId &target,
                                                        HttpStream stream,
                                                        HttpResponder &responder);
    /// Reads the complete body and then sends the response.
    boost::asio::awaitable<AttemptResult> relayBody(RequestContext &it, const TargetId &target,
                                                    HttpStream stream, HttpResponder &responder);
    /// Forwards the events of a stream as they arrive.
    boost::asio::awaitable<AttemptResult> relayEvents(RequestContext &it, HttpStream stream,
                                                      HttpResponder &responder);
    /// \returns whether another attempt is allowed; takes it from the retry budget
    [[nodiscard]] bool mayRetry(RequestContext &it, AttemptOutcome outcome);
    /// Refunds the reserved tokens if no target has executed the request.
    void refundRate(const RequestContext &it);
    /// \returns whether the request might not finish before this daemon stops; the caller should
    /// then retry at another daemon
    [[nodiscard]] bool isTooLateToStart(const RequestContext &it, TimePoint now) const;
    [[nodiscard]] TargetRequirements targetRequirements(const RequestContext &it) const;
    [[nodiscard]] WaitFacts waitFacts(const RequestContext &it, TimePoint now) const;
    /// \returns the time until the deadline, or less if another target can be tried afterwards
    [[nodiscard]] Duration attemptTimeout(const RequestContext &it, TimePoint now) const;
    /// Records the time to the first chunk of a stream, or the gap since the previous chunk.
    void noteChunk(RequestContext &it);
    /// Sends the error response of a request that has got no response yet.
    ///
    /// \returns what the caller has got
    boost::asio::awaitable<Delivery> respondWithError(const RequestContext &it, Error error,
                                                      HttpResponder &responder);
    /// Writes metrics and the log line of a finished request.
    void recordOutcome(const RequestContext &it, const Result<void> &result, Delivery delivery);

    GatewayState &m_state;
    std::map<ActiveId, RequestContext *> m_active;
    ActiveId m_nextActiveId = 1;
};

} // namespace bluebell::gateway
