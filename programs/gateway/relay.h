#pragma once

#include "gateway/request.h"
#include "gateway/sitestate.h"
#include "http/client.h"
#include "http/server.h"
#include "queue/patience.h"
#include "streams/eventsplitter.h"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <memory>
#include <set>

/// \file
/// Serves callers' requests: who may call, the rate, the wait for a target, the answer.

namespace bluebell::gateway {

/// What one daemon knew of an organisation's bucket when it refused a request.
struct RateFacts
{
    Tokens wanted = 0;
    Tokens level = 0;
    /// Daemons by their rows, and those whose counts arrive.
    std::size_t daemons = 0;
    std::size_t heard = 0;
};

/// One request on its way through the filters.
struct RequestContext
{
    const HttpRequest *http = nullptr;
    CallerRequest caller;
    /// The configuration under which the request is served.
    std::shared_ptr<const SiteIndex> index;
    const Route *route = nullptr;
    const Service *service = nullptr;
    /// Empty on open routes.
    OrganisationId organisation;
    int priority = 5;
    TimePoint receivedAt;
    /// The caller gets its final answer by then.
    TimePoint deadline;
    /// Cancelled when the caller goes or its key is withdrawn.
    std::shared_ptr<CancelSource> cancel;
    bool isKeyWithdrawn = false;
    /// Tokens taken from the organisation's rate.
    Tokens reserved = 0;
    /// What a refusal by the rate was decided by.
    std::optional<RateFacts> rateFacts;
    /// Targets that have begun to run the request.
    std::uint32_t runs = 0;
    /// Targets that the request has been sent to.
    std::uint32_t sends = 0;
    std::set<TargetId> met;
    /// Time in which the request waited for a target.
    Duration waited {};
    /// Whether the head of the answer has gone to the caller.
    bool hasBegun = false;
    /// When the newest piece of a stream has gone to the caller.
    std::optional<TimePoint> lastPieceAt;
    /// Whole events that have gone to the caller.
    EventSplitter events;
    TargetId lastTarget;
};

/// What became of one attempt at a target.
enum class AttemptOutcome : std::uint8_t {
    /// The caller has its whole answer.
    Answered,
    /// No byte of the request has left.
    NotSent,
    /// The target did not run the request.
    NotRun,
    /// The request may have run, and there is no answer to pass on.
    Failed,
    /// The caller cannot be answered any more.
    Lost,
};

class Relay
{
public:
    explicit Relay(SiteState &state) : m_state(state) { }

    /// Answers one request.
    [[nodiscard]] boost::asio::awaitable<void> handle(const HttpRequest &request,
                                                      HttpResponder &responder);

    /// Stops requests whose key another configuration has withdrawn: at once while they wait, and
    /// when three quarters of their time are over while they run.
    void noteConfig();

    /// \returns requests that wait or run
    [[nodiscard]] std::size_t requestCount() const noexcept { return m_active.size(); }

private:
    using ActiveId = std::uint64_t;

    struct AttemptResult
    {
        AttemptOutcome outcome = AttemptOutcome::NotRun;
        Error error;
    };

    [[nodiscard]] Result<void> identify(RequestContext &it) const;
    [[nodiscard]] Result<void> reserveRate(RequestContext &it);
    boost::asio::awaitable<Result<void>> serve(RequestContext &it, HttpResponder &responder);
    boost::asio::awaitable<Result<TargetId>> awaitTarget(RequestContext &it);
    /// Looks once for a target.
    ///
    /// \param wait the request's place among what is waited for, if it has one
    /// \returns the target, or why there will be none; nothing when the request goes on waiting
    [[nodiscard]] std::optional<Result<TargetId>>
    lookForTarget(RequestContext &it, std::optional<WaitId> &wait, TimePoint now);
    boost::asio::awaitable<AttemptResult> attempt(RequestContext &it, TargetId target,
                                                  HttpResponder &responder);
    boost::asio::awaitable<AttemptResult> relayAnswer(RequestContext &it, const TargetId &target,
                                                      HttpStream stream, HttpResponder &responder);
    boost::asio::awaitable<AttemptResult> relayWhole(RequestContext &it, const TargetId &target,
                                                     HttpStream stream, HttpResponder &responder);
    boost::asio::awaitable<AttemptResult> relayEvents(RequestContext &it, HttpStream stream,
                                                      HttpResponder &responder);
    [[nodiscard]] bool mayTryAgain(RequestContext &it, AttemptOutcome outcome);
    /// Gives back what a request took from its organisation's rate if it has run nowhere.
    void giveRateBack(const RequestContext &it);
    /// \returns whether a stop leaves no time for the request, so that another daemon should have
    /// it
    [[nodiscard]] bool isTooLateToStart(const RequestContext &it, TimePoint now) const;
    [[nodiscard]] TargetNeed needOf(const RequestContext &it) const;
    [[nodiscard]] WaitFacts waitFacts(const RequestContext &it, TimePoint now) const;
    [[nodiscard]] Duration answerTimeout(const RequestContext &it, TimePoint now) const;
    /// Observes the time to the first piece of a stream and the pauses after it.
    void notePiece(RequestContext &it);
    void record(const RequestContext &it, const Result<void> &result);

    SiteState &m_state;
    std::map<ActiveId, RequestContext *> m_active;
    ActiveId m_nextActive = 1;
};

} // namespace bluebell::gateway
