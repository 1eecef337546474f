#pragma once

#include "gateway/gatewaystate.h"
#include "platform/storecodec.h"
#include "relay/digest.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// \file
/// Applies configurations, target entries and daemons' rows to the state, wherever they come from.

namespace bluebell::gateway {

/// Applies what the store, other daemons or relays tell of the site.
class SiteUpdates
{
public:
    /// \param configChanged called after a newer configuration has been applied
    SiteUpdates(GatewayState &state, std::function<void()> configChanged)
        : m_state(state), m_configChanged(std::move(configChanged))
    {
    }

    /// \returns whether the configuration is valid and newer than the current one
    bool updateConfig(const std::string &text);

    /// Replaces all rows of the operators' table by those in the store at `version`.
    void replaceOperatorRows(const std::vector<platform::StoreRow> &rows, RowVersion version);
    void updateOperatorRows(const std::vector<platform::StoreRow> &rows, RowVersion version);

    /// Replaces all target entries by those in the store at `version`.
    void replaceTargets(const std::vector<platform::StoreRow> &rows, RowVersion version);
    void updateTargets(const std::vector<platform::StoreRow> &rows, RowVersion version);
    /// \returns all target entries as JSON, for decodeEntries() of another daemon
    [[nodiscard]] std::string encodeEntries() const;

    /// Replaces the rows of all daemons by those in the store at `version`.
    void replaceMembers(const std::vector<platform::StoreRow> &rows, RowVersion version);
    void updateMembers(const std::vector<platform::StoreRow> &rows, RowVersion version);

    /// Removes daemons that have not written their rows again in time after a restore of the store.
    void expireMembers(TimePoint now);

    /// Applies a relay's digest, apart from its sums.
    void applyDigest(const FleetDigest &digest, TimePoint now);

    /// Notes that this daemon's row has been written.
    void noteRegistered(RowVersion version) noexcept { m_registeredAt = version; }
    /// \returns whether this daemon's row is in the store, as far as it is known. A row that was
    ///          written is missing if a later state of the table lacks it, as after the store has
    ///          come back from an older copy.
    [[nodiscard]] bool isRegistered() const;

private:
    void updateTarget(const platform::StoreRow &row, RowVersion version);
    /// \param version version of the store at which a relay has read the rows
    void applyTargets(const std::set<std::string> &changed, RowVersion version);
    /// \returns whether this daemon has just read the target entries itself
    [[nodiscard]] bool hasFreshTargets(TimePoint now) const;
    /// \returns the relayed rows with the times until which targets are cold
    [[nodiscard]] RowChanges<std::string, TargetRow>
    withColdTimes(RowChanges<std::string, TargetRow> changes, TimePoint now) const;
    void applyMembers(const std::set<VmId> &changed);
    /// Removes a daemon whose row is gone; after a restore of the store only for as long as it may
    /// write the row again.
    void removeMember(const VmId &vm, TimePoint now);

    GatewayState &m_state;
    std::function<void()> m_configChanged;
    /// Version of the store at which this daemon has written its row; 0 if it has not.
    RowVersion m_registeredAt = 0;
    /// Era of the store from which the daemons' rows are, and when they were first read from it.
    std::optional<StoreEra> m_memberEra;
    std::optional<TimePoint> m_membersRestoredAt;
    /// Daemons whose rows a restore of the store has lost, until the given time.
    std::map<VmId, TimePoint> m_lostMembers;
    /// The evacuated data centres as last read from the store by this daemon.
    std::set<DataCentreId> m_evacuated;
};

} // namespace bluebell::gateway
