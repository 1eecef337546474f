#pragma once

#include "config/delta.h"
#include "core/result.h"
#include "idempotency/nonidempotentcall.h"
#include "membership/roles.h"
#include "placement/ledger.h"

#include <string>

/// \file
/// Keys and values of the rows in the table service.
///
/// Values are JSON objects; each includes the id of the transaction that wrote it.

namespace bluebell::rows {

inline constexpr std::string_view ConfigHead = "config/head";
inline constexpr std::string_view ConfigLogPrefix = "config/log/";
inline constexpr std::string_view MemberPrefix = "member/";
inline constexpr std::string_view RolePrefix = "role/";
inline constexpr std::string_view TargetPrefix = "target/";
inline constexpr std::string_view ReplicaPrefix = "replica/";

/// \returns a key whose lexicographic order is the numeric order of versions
[[nodiscard]] std::string configLogKey(ConfigVersion version);
/// \returns the name of the snapshot object of `version`
[[nodiscard]] std::string snapshotName(ConfigVersion version);
[[nodiscard]] std::string memberKey(const Member &member);
[[nodiscard]] std::string roleKey(const RoleId &role);
[[nodiscard]] std::string targetKey(const TargetId &target);
[[nodiscard]] std::string replicaKey(const ReplicaKey &key);
[[nodiscard]] std::string idempotencyRecordKey(const OrganisationId &organisation,
                                               const IdempotencyKey &key);

/// The newest version, and the newest version with a snapshot in the object store; 0 for none.
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
[[nodiscard]] std::string encode(const IdempotencyRecord &record, const ChangeId &change);
[[nodiscard]] std::string encode(const ConfigSnapshot &snapshot);

// Decoders; they return InvalidArgument when the value is not JSON or a field is missing or
// malformed.

[[nodiscard]] Result<ConfigHeadRow> decodeHead(const std::string &value);
[[nodiscard]] Result<ConfigDelta> decodeDelta(const std::string &value);
[[nodiscard]] Result<MemberRow> decodeMember(const std::string &value);
[[nodiscard]] Result<RoleRow> decodeRole(const std::string &value);
[[nodiscard]] Result<Ledger> decodeLedger(const std::string &value);
[[nodiscard]] Result<ReplicaPlaces> decodePlaces(const std::string &value);
[[nodiscard]] Result<IdempotencyRecord> decodeIdempotencyRecord(const std::string &value);
[[nodiscard]] Result<ConfigSnapshot> decodeSnapshot(const std::string &value);

} // namespace bluebell::rows
