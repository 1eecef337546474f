#pragma once

#include "core/ids.h"
#include "core/rowversion.h"
#include "core/time.h"

#include <map>
#include <set>

/// \file
/// The data centres whose targets must get no new request.

namespace bluebell {

/// What one daemon tells the others of evacuations.
struct EvacuationUpdate
{
    /// Version of the operators' table at which the list was read; 0 if it is unknown.
    RowVersion version = 0;
    /// The data centres that the table listed.
    std::set<DataCentreId> listed;
    /// Data centres that an earlier era of the store listed and that the table does not list, with
    /// the time for which they still count as evacuated.
    std::map<DataCentreId, Duration> kept;
};

/// Decides which data centres count as evacuated.
///
/// Lists come from the store and from other daemons, in any order: the one of the newest version
/// counts. After the store has been restored from an older copy, the rows of evacuations may be
/// missing until the operators write them again, so a data centre that only the former era listed
/// stays evacuated for RestoreGrace.
class Evacuations
{
public:
    /// Operators write lost rows again within this time after a restore of the store.
    static constexpr Duration RestoreGrace = std::chrono::seconds(4);

    // Events.

    /// Notes the list that was read from the store at `version`.
    ///
    /// \returns whether the evacuated data centres have changed
    bool noteListed(std::set<DataCentreId> listed, RowVersion version, TimePoint now);
    /// Notes what another daemon tells.
    ///
    /// \returns as noteListed()
    bool note(const EvacuationUpdate &update, TimePoint now);
    /// Ends the evacuations that are no longer kept.
    ///
    /// \returns as noteListed()
    bool expire(TimePoint now);

    // Queries.

    /// \returns the evacuated data centres as of the latest event
    [[nodiscard]] const std::set<DataCentreId> &dataCentres() const noexcept
    {
        return m_dataCentres;
    }
    /// \returns the version of the list that counts; 0 before the first one
    [[nodiscard]] RowVersion version() const noexcept { return m_version; }
    /// \returns the message for other daemons
    [[nodiscard]] EvacuationUpdate message(TimePoint now) const;

private:
    void applyList(std::set<DataCentreId> listed, RowVersion version, TimePoint now);
    /// Keeps for a while what the former era listed and `listed` lacks.
    void enterEra(const std::set<DataCentreId> &listed, TimePoint now);

    RowVersion m_version = 0;
    std::set<DataCentreId> m_listed;
    /// Data centres that a former era listed, and until when they count as evacuated. Those whose
    /// time has passed are remembered until the next era, so that no late message brings them back.
    std::map<DataCentreId, TimePoint> m_keptUntil;
    std::set<DataCentreId> m_dataCentres;
};

} // namespace bluebell
