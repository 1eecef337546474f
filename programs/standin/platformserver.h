#pragma once

#include "http/server.h"
#include "platform/table.h"

#include <boost/asio/io_context.hpp>

#include <deque>
#include <map>
#include <string>

/// \file
/// Stand-in of the platform: transactional table, object store and VM list, in memory.

namespace bluebell::standin {

/// Faults that tests switch on.
struct PlatformFaults
{
    /// Every call is answered with status 503.
    bool outage = false;
    /// Connections are taken but never answered.
    bool silent = false;
    /// Every answer waits this long.
    Duration delay {};
    /// So many commits take effect without an answer.
    int lostReplies = 0;
};

struct PlatformLimits
{
    std::uint32_t readsPerSecond = 2000;
    std::uint32_t writesPerSecond = 400;
};

/// Calls taken so far.
struct PlatformUsage
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t refused = 0;
    std::uint64_t bytes = 0;
};

class PlatformServer
{
public:
    PlatformServer(boost::asio::io_context &context, PlatformLimits limits);

    Result<Endpoint> listen(const Endpoint &endpoint) { return m_server.listen(endpoint); }

    void setFaults(const PlatformFaults &faults) { m_faults = faults; }
    void setVm(const VmId &vm, VmState state) { m_vms[vm] = state; }
    void removeVm(const VmId &vm) { m_vms.erase(vm); }

    [[nodiscard]] const std::map<std::string, Row> &rows() const noexcept { return m_rows; }
    [[nodiscard]] const PlatformUsage &usage() const noexcept { return m_usage; }

private:
    boost::asio::awaitable<void> handle(const HttpRequest &request, HttpResponder &responder);
    [[nodiscard]] HttpResponse answer(const HttpRequest &request);
    [[nodiscard]] HttpResponse getRow(const std::string &key) const;
    [[nodiscard]] HttpResponse getRange(const std::string &prefix, const std::string &after) const;
    [[nodiscard]] HttpResponse commit(const std::string &body);
    [[nodiscard]] HttpResponse object(const HttpRequest &request, const std::string &name);
    [[nodiscard]] HttpResponse vms(const HttpRequest &request);
    [[nodiscard]] HttpResponse control(const std::string &body);
    [[nodiscard]] bool takeRate(std::deque<TimePoint> &calls, std::uint32_t limit);

    boost::asio::io_context &m_context;
    PlatformLimits m_limits;
    PlatformFaults m_faults;
    PlatformUsage m_usage;
    std::map<std::string, Row> m_rows;
    std::map<std::string, std::string> m_objects;
    std::map<VmId, VmState> m_vms;
    std::deque<TimePoint> m_reads;
    std::deque<TimePoint> m_writes;
    RowVersion m_version = 0;
    HttpServer m_server;
};

} // namespace bluebell::standin
