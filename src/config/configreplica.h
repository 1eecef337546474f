#pragma once

#include "config/delta.h"
#include "core/result.h"
#include "core/time.h"
#include "rules/ruleset.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <variant>
#include <vector>

/// \file
/// A daemon's replica of the configuration, and whether it may serve from it.

namespace bluebell {

/// How far the configuration that a daemon holds is confirmed. It serves only when it is Fresh or
/// MajorityReachable.
enum class ServingState : std::uint8_t {
    /// No configuration has been received yet.
    NoConfig,
    /// The version was confirmed as the newest within the freshness bound.
    Fresh,
    /// The table service is unavailable, but a majority of the members replied within the bound.
    MajorityReachable,
    /// Neither the table service nor a majority of the members confirms the version.
    Stale,
};

/// \returns the reason why a daemon in `state` may or may not serve, as text
[[nodiscard]] std::string_view describe(ServingState state) noexcept;

/// An update for a peer that is behind: deltas, or a snapshot if those are not kept any more.
using ConfigUpdate = std::variant<std::vector<ConfigDelta>, ConfigSnapshot>;

/// Holds one version of the configuration. The version never decreases.
///
/// Freshness is the latest time at which the held version is known to have been the newest. It is
/// the send time of the read that showed it, and is transferred between daemons as an age.
///
/// While the table service is unavailable, keys are withdrawn through the daemons themselves. Such
/// a withdrawal is accepted once a majority of the members has it, and a daemon serves only while a
/// majority of the members replies to it. Two majorities overlap, so at least one of the members
/// that replied, or the daemon itself, has the withdrawal.
class ConfigReplica
{
public:
    struct Settings
    {
        /// How long a version counts as the newest after it was confirmed.
        Duration freshnessBound = std::chrono::seconds(4);
        /// Number of deltas kept for peers that are behind.
        std::size_t deltasKept = 512;
    };

    ConfigReplica() = default;
    explicit ConfigReplica(Settings settings) : m_settings(settings) { }

    // Events.

    /// Applies consecutive deltas; those at or below the held version are skipped.
    ///
    /// \returns Conflict when a delta is missing, InvalidArgument when the lines do not parse; the
    ///          replica is unchanged in both cases
    Result<void> apply(const std::vector<ConfigDelta> &deltas);

    /// Replaces the configuration by `snapshot` if that is newer.
    ///
    /// \returns InvalidArgument, without a change, when the lines do not parse
    Result<void> install(const ConfigSnapshot &snapshot);

    /// Notes that a read sent at `sentAt` returned `head`, which was the newest version at that
    /// time or later.
    void noteHead(ConfigVersion head, TimePoint sentAt);

    /// Notes a response of `member` to a request sent at `sentAt`.
    void noteContact(const VmId &member, TimePoint sentAt);

    /// Replaces the set of members, this daemon included.
    void setMembers(std::set<VmId> members);

    /// Adds a key to the withdrawn keys, which stay withdrawn under every later version.
    ///
    /// \returns whether it was new
    bool withdraw(const KeyDigest &digest);

    // Queries.

    [[nodiscard]] ConfigVersion version() const noexcept { return m_version; }
    [[nodiscard]] std::shared_ptr<const RuleSet> rules() const noexcept { return m_rules; }
    [[nodiscard]] const LineSet &lines() const noexcept { return m_lines; }
    [[nodiscard]] const std::set<KeyDigest> &withdrawn() const noexcept { return m_withdrawn; }

    /// \returns a checksum of the set of withdrawn keys, different for different sets with near
    ///          certainty
    [[nodiscard]] std::uint64_t withdrawnChecksum() const;

    [[nodiscard]] const std::set<VmId> &members() const noexcept { return m_members; }
    /// \returns the send time of the last request that each member has answered
    [[nodiscard]] const std::map<VmId, TimePoint> &contacts() const noexcept { return m_contacts; }

    /// \returns the time since the held version was known to be the newest, or nothing if it never
    ///          was
    [[nodiscard]] std::optional<Duration> age(TimePoint now) const;

    [[nodiscard]] ServingState state(TimePoint now) const;

    /// \returns whether members should be contacted because freshness may expire soon: more than
    ///          half of the freshness bound has passed
    [[nodiscard]] bool needsContacts(TimePoint now) const;

    /// \returns the organisation of a key; Unavailable when the daemon may not serve, KeyWithdrawn
    ///          or Unauthenticated when the key is not accepted
    [[nodiscard]] Result<OrganisationId> authenticate(const KeyDigest &digest, TimePoint now) const;

    /// \returns the update for a peer at version `since`, or nothing when it is up to date
    [[nodiscard]] std::optional<ConfigUpdate> updateSince(ConfigVersion since) const;

private:
    /// The newest version as of a read, and when that read was sent.
    struct HeadObservation
    {
        ConfigVersion head = 0;
        TimePoint sentAt;
    };

    Result<void> replaceLines(LineSet lines, ConfigVersion version);
    void resolvePendingHead();
    [[nodiscard]] bool hasMajorityContact(TimePoint now) const;

    Settings m_settings {};
    ConfigVersion m_version = 0;
    LineSet m_lines;
    std::shared_ptr<const RuleSet> m_rules = std::make_shared<const RuleSet>();
    std::deque<ConfigDelta> m_deltas;
    std::set<KeyDigest> m_withdrawn;
    /// The latest time at which the held version is known to have been the newest.
    std::optional<TimePoint> m_freshAt;
    /// The last head read that is newer than the held version; resolved once that is applied.
    std::optional<HeadObservation> m_pendingHead;
    std::set<VmId> m_members;
    /// Send time of the last request that each member has answered.
    std::map<VmId, TimePoint> m_contacts;
};

/// Applies an update received from a peer to `replica`.
///
/// \returns the error of ConfigReplica::apply() or ConfigReplica::install()
Result<void> applyUpdate(const ConfigUpdate &update, ConfigReplica &replica);

} // namespace bluebell
