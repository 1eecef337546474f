#pragma once

#include "config/configreplica.h"
#include "controller/rolekeeper.h"
#include "peer/peernode.h"
#include "records/configstore.h"

#include <boost/asio/awaitable.hpp>

#include <random>
#include <vector>

/// \file
/// Keeps this daemon's configuration the newest, from the table service and from peers.

namespace bluebell::controller {

class ConfigSync
{
public:
    /// \param seeds controllers to ask when the table service has not named any
    ConfigSync(RecordTable records, RoleKeeper &roles, PeerNode &peers, std::vector<Endpoint> seeds,
               ConfigReplica::Settings settings);

    /// Polls until stop() is called.
    boost::asio::awaitable<void> run();
    void stop() noexcept { m_isStopping = true; }

    [[nodiscard]] SyncAnswer answer(const SyncQuestion &question, TimePoint now) const;

    /// Withdraws a key here and, when asked to, at all members.
    boost::asio::awaitable<WithdrawAnswer> withdraw(WithdrawQuestion question);

    [[nodiscard]] const ConfigReplica &replica() const noexcept { return m_replica; }

private:
    boost::asio::awaitable<void> askPeers();
    boost::asio::awaitable<void> askPeer(Endpoint peer);
    boost::asio::awaitable<void> publishWithdrawals();
    void takeIn(const SyncAnswer &answer, TimePoint sentAt);
    void noteMembers();
    [[nodiscard]] std::vector<Endpoint> peerAddresses() const;

    RecordTable m_records;
    RoleKeeper &m_roles;
    PeerNode &m_peers;
    std::vector<Endpoint> m_seeds;
    ConfigReplica m_replica;
    std::mt19937_64 m_random;
    std::size_t m_round = 0;
    bool m_isStopping = false;
};

} // namespace bluebell::controller
