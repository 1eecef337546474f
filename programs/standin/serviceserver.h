#pragma once

#include "http/server.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <string>

/// \file
/// Stand-in of a plain service with stock lookups and orders.

namespace bluebell::standin {

/// Faults that tests switch on.
struct ServiceFaults
{
    Duration delay {};
    /// So many calls run without an answer.
    int lostReplies = 0;
    /// So many calls are refused before they run, and the answer says so.
    int refusals = 0;
};

class ServiceServer
{
public:
    explicit ServiceServer(boost::asio::io_context &context);

    Result<Endpoint> listen(const Endpoint &endpoint) { return m_server.listen(endpoint); }
    void setFaults(const ServiceFaults &faults) { m_faults = faults; }

    /// \returns how often each order ran, by its idempotency key
    [[nodiscard]] const std::map<std::string, int> &orderRuns() const noexcept { return m_orders; }
    /// \returns whether a caller's key was seen on any call
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
