#pragma once

#include "config/configreplica.h"
#include "controller/rolemanager.h"
#include "peer/peernode.h"
#include "records/configstore.h"

#include <boost/asio/awaitable.hpp>

#include <random>
#include <vector>

/// \file
/// Synchronises this daemon's configuration with the table service and with peers.

namespace bluebell::controller {

/// Maintains the ConfigReplica of this daemon and serves it to others.
class ConfigSync
{
public:
    /// \param seeds controllers to contact in addition to those found in the table service
    ConfigSync(RecordTable records, RoleManager &roles, PeerNode &peers,
               std::vector<Endpoint> seeds, ConfigReplica::Settings settings);

    /// Polls the table service and peers until stop() is called.
    boost::asio::awaitable<void> run();
    void stop() noexcept { m_isStopping = true; }

    /// \returns the parts of this daemon's state that `question` requests
    [[nodiscard]] SyncAnswer answer(const SyncQuestion &question, TimePoint now) const;

    /// Withdraws a key on this daemon and, if `question.spreads` is set, on all members.
    boost::asio::awaitable<WithdrawAnswer> withdraw(WithdrawQuestion question);

    [[nodiscard]] const ConfigReplica &replica() const noexcept { return m_replica; }

private:
    boost::asio::awaitable<void> askPeers();
    boost::asio::awaitable<void> askPeer(Endpoint peer);
    /// Removes withdrawn keys from the stored configuration; only one live member does so.
    boost::asio::awaitable<void> publishWithdrawals();
    /// \param sentAt when the request was sent; ages in the response are counted back from it
    void applyResponse(const SyncAnswer &response, TimePoint sentAt);
    /// Passes the listed VMs and the live members to the replica.
    void updateMembers();
    /// Logs once that the table service has other changes than this daemon.
    void noteConflict(const Result<void> &pulled);
    [[nodiscard]] std::vector<Endpoint> peerAddresses() const;

    RecordTable m_records;
    RoleManager &m_roles;
    PeerNode &m_peers;
    std::vector<Endpoint> m_seeds;
    ConfigReplica m_replica;
    std::mt19937_64 m_random;
    std::size_t m_round = 0;
    /// Cause of the last pull's conflict; empty if there was none.
    std::string m_lastConflict;
    bool m_isStopping = false;
};

} // namespace bluebell::controller
