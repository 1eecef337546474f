#pragma once

#include "config/configreplica.h"
#include "membership/roles.h"
#include "peer/peernode.h"
#include "routing/entryselector.h"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <vector>

/// \file
/// Configuration, entry addresses and role holders at an entry, synchronised from controllers.

namespace bluebell::entry {

/// Polls a controller for configuration updates, entry addresses and role holders.
class ConfigView
{
public:
    /// \param controllers addresses in order of preference, the controller on this VM first; the
    ///                    next one is polled when one does not respond
    /// \param self address under which callers reach this entry
    ConfigView(PeerNode &peers, std::vector<Endpoint> controllers, EntryAddress self,
               ConfigReplica::Settings settings);

    /// Synchronises at a fixed interval until stop() is called.
    boost::asio::awaitable<void> run();
    void stop() noexcept { m_isStopping = true; }

    /// Marks this entry as leaving, so that controllers stop listing it for callers.
    void announceLeaving() { m_self.isLeaving = true; }

    [[nodiscard]] const ConfigReplica &replica() const noexcept { return m_replica; }
    /// \returns all entries known to the controllers, leaving ones included
    [[nodiscard]] const std::vector<EntryAddress> &entries() const noexcept { return m_entries; }
    /// \returns the address of the holder of `role`, or nothing while none is known
    [[nodiscard]] std::optional<Endpoint> holderOf(const RoleId &role) const;

private:
    /// \returns whether the controller responded in time
    boost::asio::awaitable<bool> syncWith(Endpoint controller);
    /// \param sentAt when the request was sent; ages in the response are counted back from it
    void applyResponse(const SyncAnswer &response, TimePoint sentAt);

    PeerNode &m_peers;
    std::vector<Endpoint> m_controllers;
    EntryAddress m_self;
    ConfigReplica m_replica;
    std::vector<EntryAddress> m_entries;
    std::map<RoleId, RoleRow> m_roles;
    bool m_isStopping = false;
};

} // namespace bluebell::entry
