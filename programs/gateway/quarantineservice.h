#pragma once

#include "gateway/gatewaystate.h"
#include "platform/store.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <map>
#include <vector>

/// \file
/// Decides on quarantines in the background and keeps them in the platform's store.

namespace bluebell::gateway {

inline constexpr const char *QuarantineTable = "bluebell-quarantine";

/// Performs the I/O of Quarantine. Daemons tell each other of quarantines in their statuses; the
/// rows in the store outlast a restart of all of them. Only the leader writes them.
class QuarantineService
{
public:
    QuarantineService(boost::asio::io_context &context, GatewayState &state)
        : m_context(context), m_state(state), m_store(state.settings.store)
    {
    }

    void start();
    /// Applies changed settings.
    void applySettings() { m_store.setEndpoint(m_state.settings.store); }

    /// Replaces what is known of the table's rows.
    void replaceRows(const std::vector<platform::StoreRow> &rows);
    void updateRows(const std::vector<platform::StoreRow> &rows);

private:
    boost::asio::awaitable<void> decide();
    /// Writes and removes rows until the table holds the quarantines in force.
    boost::asio::awaitable<void> storeVerdicts();
    /// \returns the first row that must be written, or removed if it has no value
    [[nodiscard]] std::optional<platform::RowChange> nextChange(TimePoint now) const;
    void logChanges(TimePoint now);

    boost::asio::io_context &m_context;
    GatewayState &m_state;
    platform::Store m_store;
    /// Generations of the quarantines in the store.
    std::map<PromptPartId, std::uint64_t> m_stored;
    bool m_isTableKnown = false;
};

} // namespace bluebell::gateway
