#pragma once

#include "entry/configview.h"
#include "entry/dispatcher.h"
#include "entry/rategate.h"
#include "http/server.h"
#include "metrics/metrics.h"
#include "streams/streamassembler.h"
#include "target/targetclient.h"

/// \file
/// Relays answers of models to callers.

namespace bluebell::entry {

class ChatHandler
{
public:
    ChatHandler(const ConfigView &config, Dispatcher &dispatcher, RateGate &gate, Metrics &metrics)
        : m_config(config), m_dispatcher(dispatcher), m_gate(gate), m_metrics(metrics),
          m_budget(RetryBudget::Settings {})
    {
    }

    /// Serves a request that has passed the filters.
    boost::asio::awaitable<void> serve(RequestContext &context, HttpResponder &responder);

private:
    /// One answer on its way to the caller.
    struct Relay
    {
        RequestContext &context;
        HttpResponder &responder;
        StreamAssembler assembler;
        /// The whole answer, for callers that do not stream.
        std::string text;
        TimePoint lastToken;
        bool callerIsGone = false;
    };

    /// What one attempt at a target came to.
    struct AttemptEnd
    {
        AttemptResult result = AttemptResult::Failed;
        /// The assembler's verdict; a Resume asks for another attempt.
        StreamAction action;
    };

    boost::asio::awaitable<Result<void>> relay(Relay &it);
    boost::asio::awaitable<AttemptEnd> attempt(Relay &it, const Assignment &assignment,
                                               Resume resume);
    boost::asio::awaitable<Result<void>> waitUntilServing(const Relay &it);
    boost::asio::awaitable<void> deliver(Relay &it, const Deliver &token);
    boost::asio::awaitable<void> finish(Relay &it, Result<void> outcome);

    const ConfigView &m_config;
    Dispatcher &m_dispatcher;
    RateGate &m_gate;
    Metrics &m_metrics;
    RetryBudget m_budget;
};

} // namespace bluebell::entry
