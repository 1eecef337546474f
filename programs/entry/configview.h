#pragma once

#include "config/configreplica.h"
#include "membership/roles.h"
#include "peer/peernode.h"
#include "routing/entryadvisor.h"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <vector>

/// \file
/// The entry's view of configuration, entries and roles, from the controllers.

namespace bluebell::entry {

class ConfigView
{
public:
    /// \param controllers the one on this VM first; the others are asked when it does not answer
    ConfigView(PeerNode &peers, std::vector<Endpoint> controllers, EntryAddress self,
               ConfigReplica::Settings settings);

    boost::asio::awaitable<void> run();
    void stop() noexcept { m_isStopping = true; }

    /// Tells callers, through the controllers, not to use this entry any more.
    void announceLeaving() { m_self.isLeaving = true; }

    [[nodiscard]] const ConfigReplica &replica() const noexcept { return m_replica; }
    [[nodiscard]] const std::vector<EntryAddress> &entries() const noexcept { return m_entries; }
    /// \returns the address of the holder of `role`, if one is known
    [[nodiscard]] std::optional<Endpoint> holderOf(const RoleId &role) const;

private:
    boost::asio::awaitable<bool> ask(Endpoint controller);
    void takeIn(const SyncAnswer &answer, TimePoint sentAt);

    PeerNode &m_peers;
    std::vector<Endpoint> m_controllers;
    EntryAddress m_self;
    ConfigReplica m_replica;
    std::vector<EntryAddress> m_entries;
    std::map<RoleId, RoleRow> m_roles;
    bool m_isStopping = false;
};

} // namespace bluebell::entry
