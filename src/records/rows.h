#pragma once

#include "config/delta.h"
#include "core/result.h"
#include "membership/roles.h"
#include "orders/orderflow.h"
#include "placement/ledger.h"

#include <string>

/// \file
/// Keys and values of the rows that a site of our own keeps.
///
/// Values are JSON objects; each holds the id of the change that wrote it.

namespace bluebell::rows {

inline constexpr std::string_view ConfigHead = "config/head";
inline constexpr std::string_view ConfigLogPrefix = "config/log/";
inline constexpr std::string_view MemberPrefix = "member/";
inline constexpr std::string_view RolePrefix = "role/";
inline constexpr std::string_view TargetPrefix = "target/";
inline constexpr std::string_view ReplicaPrefix = "replica/";

/// \returns a key whose order is the order of versions
[[nodiscard]] std::string configLogKey(ConfigVersion version);
[[nodiscard]] std::string snapshotName(ConfigVersion version);
[[nodiscard]] std::string memberKey(const Member &member);
[[nodiscard]] std::string roleKey(const RoleId &role);
[[nodiscard]] std::string targetKey(const TargetId &target);
[[nodiscard]] std::string replicaKey(const ReplicaKey &key);
[[nodiscard]] std::string orderKey(const OrganisationId &organisation, const OrderKey &key);

/// The newest version, and the newest of which the object store has a snapshot.
struct ConfigHeadRow
{
    ConfigVersion version = 0;
    ConfigVersion snapshot = 0;
};

[[nodiscard]] std::string encode(const ConfigHeadRow &head, const ChangeId &change);
[[nodiscard]] std::string encode(const ConfigDelta &delta);
[[nodiscard]] std::string encode(const MemberRow &row, const ChangeId &change);
[[nodiscard]] std::string encode(const RoleRow &row, const ChangeId &change);
[[nodiscard]] std::string encode(const Ledger &ledger, const ChangeId &change);
[[nodiscard]] std::string encode(const ReplicaPlaces &places, const ChangeId &change);
[[nodiscard]] std::string encode(const OrderRecord &record, const ChangeId &change);
[[nodiscard]] std::string encode(const ConfigSnapshot &snapshot);

// Decoders; InvalidArgument when the value is not what it should be.

[[nodiscard]] Result<ConfigHeadRow> decodeHead(const std::string &value);
[[nodiscard]] Result<ConfigDelta> decodeDelta(const std::string &value);
[[nodiscard]] Result<MemberRow> decodeMember(const std::string &value);
[[nodiscard]] Result<RoleRow> decodeRole(const std::string &value);
[[nodiscard]] Result<Ledger> decodeLedger(const std::string &value);
[[nodiscard]] Result<ReplicaPlaces> decodePlaces(const std::string &value);
[[nodiscard]] Result<OrderRecord> decodeOrder(const std::string &value);
[[nodiscard]] Result<ConfigSnapshot> decodeSnapshot(const std::string &value);

} // namespace bluebell::rows
