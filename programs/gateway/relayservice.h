#pragma once

#include "gateway/siteupdates.h"
#include "peer/datagramsocket.h"
#include "peer/relaycodec.h"
#include "relay/digesthistory.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

/// \file
/// Exchange of reports, digests and summaries in a large fleet.

namespace bluebell::gateway {

/// Performs the I/O of RelayNode: reports to the relays, and sends digests and summaries while this
/// daemon is a relay.
class RelayService
{
public:
    RelayService(boost::asio::io_context &context, GatewayState &state, SiteUpdates &updates);

    /// Binds the socket and starts the background tasks.
    ///
    /// \returns Unavailable when the address cannot be bound
    Result<void> start();

    /// \returns a digest with the complete tables
    [[nodiscard]] FleetDigest fullDigest(TimePoint now);

private:
    boost::asio::awaitable<void> sendReports();
    boost::asio::awaitable<void> sendDigests();
    void report(TimePoint now);
    /// Logs changes of this daemon's relays, and whether it is one itself.
    void noteRoles(TimePoint now);
    /// Sends the sums of this relay's daemons to the other relays.
    ///
    /// \param hasInFlight whether they contain the requests in flight
    void sendSummaries(bool hasInFlight, TimePoint now);
    /// Sends a digest with all sums to everyone who reports to this daemon.
    void sendRegularDigest(TimePoint now);
    /// Sends what has changed to those whose primary relay this daemon is.
    void sendUrgentDigest(TimePoint now);
    /// Makes a digest with the changes that are due, and notes that it is sent.
    [[nodiscard]] FleetDigest nextDigest(DigestHistory &history, TimePoint now);
    void sendToSubscribers(const FleetDigest &digest, bool isForAll, TimePoint now);
    /// Makes the sums due, if an organisation's level is low here.
    void noteRates(const std::vector<RateUsage> &rates, TimePoint now);
    /// Makes a digest with the changes since `base`, without sums.
    [[nodiscard]] FleetDigest makeDigest(const DigestVersions &base, TimePoint now);
    [[nodiscard]] DigestVersions currentVersions() const;

    void handleDatagram(std::string_view bytes, const std::string &from);
    void handle(const ReportDatagram &it, TimePoint now);
    void handle(const DigestDatagram &it, TimePoint now);
    void handle(const GroupSummary &it, TimePoint now);
    void handle(const UnknownDatagram &it, TimePoint now);
    void send(const VmId &vm, std::string_view bytes);

    boost::asio::io_context &m_context;
    GatewayState &m_state;
    SiteUpdates &m_updates;
    DatagramSocket m_socket;
    std::vector<VmId> m_relays;
    bool m_wasRelay = false;
    /// Digests to all subscribers.
    DigestHistory m_digestsToAll;
    /// Digests to primary subscribers, which are more frequent.
    DigestHistory m_digestsToPrimaries;
    /// Whether the next digest must contain the admitted tokens, because a rate is nearly used up.
    bool m_areCountsDue = false;
    /// The evacuated data centres in the last summaries.
    std::set<DataCentreId> m_toldEvacuations;
};

} // namespace bluebell::gateway
