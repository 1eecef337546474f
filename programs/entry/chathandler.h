#pragma once

#include "entry/configview.h"
#include "entry/dispatcher.h"
#include "entry/ratelimiter.h"
#include "http/server.h"
#include "metrics/metrics.h"
#include "streams/streamassembler.h"
#include "target/targetclient.h"

/// \file
/// Chat completions: relays the output of model targets to callers.

namespace bluebell::entry {

/// Serves chat completions, streamed or as one response.
///
/// When an attempt fails, a new one continues at the first token that was not delivered, within a
/// retry budget.
class ChatHandler
{
public:
    ChatHandler(const ConfigView &config, Dispatcher &dispatcher, RateLimiter &rateLimiter,
                Metrics &metrics)
        : m_config(config), m_dispatcher(dispatcher), m_rateLimiter(rateLimiter),
          m_metrics(metrics), m_budget(RetryBudget::Settings {})
    {
    }

    /// Serves a request that has passed the filters and settles its rate reservation.
    boost::asio::awaitable<void> serve(RequestContext &context, HttpResponder &responder);

private:
    /// State of one response that is being relayed to its caller.
    struct ActiveResponse
    {
        RequestContext &context;
        HttpResponder &responder;
        StreamAssembler assembler;
        /// Text received so far; sent at the end to callers that do not stream.
        std::string text;
        TimePoint lastTokenAt;
        /// The caller closed its connection or reads too slowly.
        bool isDisconnected = false;
        /// Whether a target may have executed an attempt.
        bool mayHaveRun = false;
        /// The target of the next attempt, with a retry taken from the budget for it.
        std::optional<Assignment> reserved;
    };

    /// How one attempt at a target ended.
    struct AttemptOutcome
    {
        AttemptResult result = AttemptResult::Failed;
        /// The assembler's decision; Resume requests another attempt.
        StreamAction action;
    };

    /// Makes attempts until the response is complete, fails or the caller disconnects.
    boost::asio::awaitable<Result<void>> relay(ActiveResponse &it);
    boost::asio::awaitable<AttemptOutcome> attempt(ActiveResponse &it, const Assignment &assignment,
                                                   Resume resume);
    /// \returns the policy for a target that sends nothing: it is given up once another attempt is
    /// certain
    [[nodiscard]] SilencePolicy silencePolicy(ActiveResponse &it, const TargetId &target);
    /// Checks the caller's key again, and waits while the configuration is not confirmed, up to
    /// MaxResponseTime after the arrival.
    ///
    /// \returns an error when that time has passed or the key is not valid any more
    boost::asio::awaitable<Result<void>> waitUntilServing(const ActiveResponse &it);
    /// Sends one token to a streaming caller, or appends it to the text otherwise.
    boost::asio::awaitable<void> deliver(ActiveResponse &it, const Deliver &token);
    /// Sends the end of the response or the error, and counts the request.
    boost::asio::awaitable<void> finish(ActiveResponse &it, Result<void> outcome);

    const ConfigView &m_config;
    Dispatcher &m_dispatcher;
    RateLimiter &m_rateLimiter;
    Metrics &m_metrics;
    RetryBudget m_budget;
};

} // namespace bluebell::entry
