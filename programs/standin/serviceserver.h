#pragma once

#include "http/server.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <string>

/// \file
/// Stand-in for a service that is not a model engine, with stock lookups and customer orders.

namespace bluebell::standin {

/// Faults that tests inject.
struct ServiceFaults
{
    /// Delay before every response.
    Duration delay {};
    /// Number of further calls that run but get no response.
    int lostReplies = 0;
    /// Number of further calls that are refused before they run, with a response that says so.
    int refusals = 0;
    /// Number of further calls that run and then get a response with `failureStatus`.
    int failures = 0;
    unsigned failureStatus = 503;
};

class ServiceServer
{
public:
    explicit ServiceServer(boost::asio::io_context &context);

    Result<Endpoint> listen(const Endpoint &endpoint) { return m_server.listen(endpoint); }
    void setFaults(const ServiceFaults &faults) { m_faults = faults; }

    /// \returns the number of times that each order ran, by idempotency key
    [[nodiscard]] const std::map<std::string, int> &orderRuns() const noexcept { return m_orders; }
    /// \returns whether any call carried a caller's key
    [[nodiscard]] bool sawCallerKey() const noexcept { return m_sawCallerKey; }

private:
    boost::asio::awaitable<void> handle(const HttpRequest &request, HttpResponder &responder);
    [[nodiscard]] HttpResponse control(const std::string &body);

    boost::asio::io_context &m_context;
    ServiceFaults m_faults;
    std::map<std::string, int> m_orders;
    std::uint64_t m_lookups = 0;
    bool m_sawCallerKey = false;
    HttpServer m_server;
};

} // namespace bluebell::standin
