#pragma once

#include "core/endpoint.h"
#include "core/ids.h"
#include "core/time.h"
#include "placement/ledger.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// \file
/// The targets as they register themselves in the platform's store.

namespace bluebell {

/// What an engine holds, as it says itself.
struct EngineState
{
    /// Models and their adapters that can serve requests.
    std::set<ReplicaKey> resident;
    /// Adapters on their way to the target; they hold its places already.
    std::set<ReplicaKey> coming;
    /// Models with a copy in the target's memory, from which they load fastest.
    std::set<ModelId> inMemory;
    /// Models with a copy on the target's disk.
    std::set<ModelId> onDisk;
    /// Orders accepted since the target's start; an order may demand a value.
    std::uint64_t sequence = 0;
    /// Whether an order for a model is being carried out.
    bool isBusy = false;
};

/// One entry of a target.
struct TargetEntry
{
    TargetId id;
    ServiceId service;
    Endpoint address;
    DataCentreId dataCentre;
    std::uint32_t slots = 1;
    bool isDraining = false;
    /// Tells one run of the target from the next, as the same id may start again.
    std::uint64_t born = 0;
    /// Heartbeats written by this run; an entry with a lower number is an older one.
    std::uint64_t heartbeat = 0;
    /// Set for engines.
    std::optional<EngineState> engine;
};

/// The targets that may be used.
///
/// Entries may lapse while the store is away, and are back soon after its return if their target
/// lives: an entry that is missing then is kept for a short time.
class TargetRegistry
{
public:
    /// How long after the return of the store an entry may be missing before it counts as gone.
    static constexpr Duration ReturnGrace = std::chrono::milliseconds(1900);
    /// A silence of the store after which entries may have lapsed.
    static constexpr Duration OutageGap = std::chrono::milliseconds(2500);

    // Events.

    /// Notes that the store has answered a read of the entries.
    void noteContact(TimePoint now);
    /// Takes in a new or changed entry; an unusable one removes what stood there.
    void put(const std::string &key, std::optional<TargetEntry> entry);
    /// Takes in that an entry was removed.
    void remove(const std::string &key, TimePoint now);
    /// Takes in all entries at once; others are missing.
    void replaceAll(const std::map<std::string, std::optional<TargetEntry>> &entries,
                    TimePoint now);
    /// Drops entries that were missing for too long.
    ///
    /// \returns whether any was dropped
    bool expire(TimePoint now);

    // Questions.

    [[nodiscard]] const std::map<TargetId, TargetEntry> &targets() const noexcept
    {
        return m_targets;
    }
    [[nodiscard]] const TargetEntry *find(const TargetId &id) const;

private:
    [[nodiscard]] bool mayHaveLapsed(TimePoint now) const;

    std::map<TargetId, TargetEntry> m_targets;
    /// Entries whose rows are missing, and until when they are kept.
    std::map<TargetId, TimePoint> m_missing;
    std::optional<TimePoint> m_lastContact;
    /// When the store came back after the last outage.
    std::optional<TimePoint> m_returnedAt;
};

} // namespace bluebell
