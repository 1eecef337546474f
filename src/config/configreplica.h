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
/// A daemon's copy of the configuration and the right to serve from it.

namespace bluebell {

/// Whether a daemon may serve from the configuration that it holds.
enum class ServingState : std::uint8_t {
    /// No configuration has been received yet.
    NoConfig,
    /// The version was confirmed as the newest within the freshness bound.
    Fresh,
    /// The table service is out, but a majority of the members was heard within the bound.
    PeersAgree,
    /// Neither the table service nor a majority of the members confirms the version.
    Stale,
};

/// \returns a sentence that says why a daemon in `state` serves or does not
[[nodiscard]] std::string_view describe(ServingState state) noexcept;

/// What a daemon sends to a peer that is behind: deltas, or the whole where they are gone.
using ConfigUpdate = std::variant<std::vector<ConfigDelta>, ConfigSnapshot>;

/// Holds one version of the configuration. The version never falls.
///
/// Freshness is the time at which the held version is known to have been the newest. It is counted
/// from the sending of the read that showed it, and travels between daemons as an age.
///
/// While the table service is out, keys are withdrawn through the daemons themselves. Such a
/// withdrawal is accepted once a majority of the members has it, and a daemon serves only while it
/// has heard from a majority, so that at least one of those it heard from has the withdrawal.
class ConfigReplica
{
public:
    struct Settings
    {
        /// The longest time that a version counts as the newest after it was confirmed.
        Duration freshnessBound = std::chrono::seconds(4);
        /// Deltas kept for peers that are behind.
        std::size_t deltasKept = 512;
    };

    ConfigReplica() = default;
    explicit ConfigReplica(Settings settings) : m_settings(settings) { }

    // Events.

    /// Takes in consecutive deltas; those at or below the held version are passed over.
    ///
    /// \returns Conflict when a delta is missing, InvalidArgument when the lines do not parse; the
    ///          held version stays as it was in both cases
    Result<void> apply(const std::vector<ConfigDelta> &deltas);

    /// Takes in a whole configuration if it is newer than the held one.
    Result<void> install(const ConfigSnapshot &snapshot);

    /// Notes that `head` was the newest version at `sentAt` or later.
    void noteHead(ConfigVersion head, TimePoint sentAt);

    /// Notes an answer of `member` to a question sent at `sentAt`.
    void noteContact(const VmId &member, TimePoint sentAt);

    /// Replaces the set of members, this daemon among them.
    void setMembers(std::set<VmId> members);

    /// Adds a digest to the withdrawn keys.
    ///
    /// \returns whether it was new
    bool withdraw(const KeyDigest &digest);

    // Questions.

    [[nodiscard]] ConfigVersion version() const noexcept { return m_version; }
    [[nodiscard]] std::shared_ptr<const RuleSet> rules() const noexcept { return m_rules; }
    [[nodiscard]] const LineSet &lines() const noexcept { return m_lines; }
    [[nodiscard]] const std::set<KeyDigest> &withdrawn() const noexcept { return m_withdrawn; }

    /// \returns a number that differs, with near certainty, for different sets of withdrawn keys
    [[nodiscard]] std::uint64_t withdrawnChecksum() const;

    [[nodiscard]] const std::set<VmId> &members() const noexcept { return m_members; }
    /// \returns the members heard from, with the sending time of the last question answered
    [[nodiscard]] const std::map<VmId, TimePoint> &contacts() const noexcept { return m_contacts; }

    /// \returns how long ago the held version was known to be the newest
    [[nodiscard]] std::optional<Duration> age(TimePoint now) const;

    [[nodiscard]] ServingState state(TimePoint now) const;

    /// \returns whether members and their contacts are needed to go on serving
    [[nodiscard]] bool needsContacts(TimePoint now) const;

    /// \returns the organisation of a key, or why the key is not accepted
    [[nodiscard]] Result<OrganisationId> authenticate(const KeyDigest &digest, TimePoint now) const;

    /// \returns what a peer at version `since` is missing, or nothing
    [[nodiscard]] std::optional<ConfigUpdate> updateSince(ConfigVersion since) const;

private:
    struct HeadObservation
    {
        ConfigVersion head = 0;
        TimePoint sentAt;
    };

    Result<void> replaceLines(LineSet lines, ConfigVersion version);
    void settleFreshness();
    [[nodiscard]] bool hearsMajority(TimePoint now) const;

    Settings m_settings {};
    ConfigVersion m_version = 0;
    LineSet m_lines;
    std::shared_ptr<const RuleSet> m_rules = std::make_shared<const RuleSet>();
    std::deque<ConfigDelta> m_deltas;
    std::set<KeyDigest> m_withdrawn;
    std::optional<TimePoint> m_freshAt;
    std::optional<HeadObservation> m_pendingHead;
    std::set<VmId> m_members;
    std::map<VmId, TimePoint> m_contacts;
};

/// Puts an update of a peer into `replica`.
Result<void> applyUpdate(const ConfigUpdate &update, ConfigReplica &replica);

} // namespace bluebell
