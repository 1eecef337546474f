#include "records/rows.h"

#include <fmt/core.h>
#include <nlohmann/json.hpp>

#include <stdexcept>
#include <utility>

using nlohmann::json;

namespace bluebell::rows {
namespace {

/// Thrown inside of decodeWith() when a number is out of range.
class OutOfRange : public std::range_error
{
public:
    explicit OutOfRange(const char *name)
        : std::range_error(std::string(name) + " is missing or out of range")
    {
    }
};

/// \returns the integer in the field `name`
template<typename T>
T number(const json &object, const char *name)
{
    const auto &it = object.at(name);
    if (it.is_number_unsigned()) {
        if (const auto n = it.get<std::uint64_t>(); std::in_range<T>(n))
            return static_cast<T>(n);
    } else if (it.is_number_integer()) {
        if (const auto n = it.get<std::int64_t>(); std::in_range<T>(n))
            return static_cast<T>(n);
    }
    throw OutOfRange(name);
}

template<typename T, typename Read>
Result<T> decodeWith(const std::string &value, Read read)
{
    const auto body = json::parse(value, nullptr, false);
    if (body.is_discarded())
        return makeError(ErrorCode::InvalidArgument, "a row is not JSON");
    try {
        return read(body);
    } catch (const json::exception &e) {
        return makeError(ErrorCode::InvalidArgument,
                         std::string("a row is malformed: ") + e.what());
    } catch (const OutOfRange &e) {
        return makeError(ErrorCode::InvalidArgument,
                         std::string("a row is malformed: ") + e.what());
    }
}

json toJson(const Member &member)
{
    return { { "vm", member.vm.value() },
             { "incarnation", member.incarnation.value() },
             { "host", member.address.host },
             { "port", member.address.port } };
}

Member toMember(const json &it)
{
    return { VmId(it.at("vm").get<std::string>()),
             IncarnationId(it.at("incarnation").get<std::string>()),
             { it.at("host").get<std::string>(), number<std::uint16_t>(it, "port") } };
}

std::string dump(const json &it)
{
    return it.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

std::string configLogKey(ConfigVersion version)
{
    return fmt::format("{}{:020}", ConfigLogPrefix, version);
}

std::string snapshotName(ConfigVersion version)
{
    return fmt::format("config/snapshot/{}", version);
}

std::string memberKey(const Member &member)
{
    return fmt::format("{}{}/{}", MemberPrefix, member.vm.value(), member.incarnation.value());
}

std::string roleKey(const RoleId &role)
{
    return std::string(RolePrefix) + role.value();
}

std::string targetKey(const TargetId &target)
{
    return std::string(TargetPrefix) + target.value();
}

std::string replicaKey(const ReplicaKey &key)
{
    return std::string(ReplicaPrefix) + toString(key);
}

std::string idempotencyRecordKey(const OrganisationId &organisation, const IdempotencyKey &key)
{
    return fmt::format("order/{}/{}", organisation.value(), key.value());
}

std::string encode(const ConfigHeadRow &head, const ChangeId &change)
{
    return dump({ { "version", head.version },
                  { "snapshot", head.snapshot },
                  { "change", change.value() } });
}

std::string encode(const ConfigDelta &delta)
{
    return dump({ { "version", delta.version },
                  { "added", delta.added },
                  { "removed", delta.removed },
                  { "author", delta.author },
                  { "change", delta.change.value() } });
}

std::string encode(const MemberRow &row, const ChangeId &change)
{
    auto it = toJson(row.member);
    if (row.entry)
        it["entry"] = { { "host", row.entry->address.host },
                        { "port", row.entry->address.port },
                        { "leaving", row.entry->isLeaving } };
    it["change"] = change.value();
    return dump(it);
}

std::string encode(const RoleRow &row, const ChangeId &change)
{
    json it = { { "role", row.role.value() },
                { "holder", toJson(row.holder) },
                { "epoch", row.epoch },
                { "change", change.value() } };
    if (row.handover)
        it["handover"] = { { "level", row.handover->level },
                           { "outstanding", row.handover->outstanding } };
    return dump(it);
}

std::string encode(const Ledger &ledger, const ChangeId &change)
{
    json replicas = json::array();
    for (const auto &[key, entry] : ledger)
        replicas.push_back({ { "replica", toString(key) },
                             { "intent", entry.intent.value() },
                             { "action", entry.action == IntentAction::Load ? "load" : "unload" },
                             { "bytes", entry.bytes },
                             { "epoch", entry.epoch },
                             { "incarnation", entry.incarnation.value() } });
    return dump({ { "replicas", std::move(replicas) }, { "change", change.value() } });
}

std::string encode(const ReplicaPlaces &places, const ChangeId &change)
{
    json targets = json::array();
    for (const auto &target : places)
        targets.push_back(target.value());
    return dump({ { "targets", std::move(targets) }, { "change", change.value() } });
}

std::string encode(const IdempotencyRecord &record, const ChangeId &change)
{
    json it = { { "state", static_cast<int>(record.state) },
                { "digest", record.requestDigest },
                { "claim", record.claim.value() },
                { "change", change.value() } };
    if (record.response)
        it["answer"] = { { "status", record.response->status },
                         { "type", record.response->contentType },
                         { "body", record.response->body } };
    return dump(it);
}

std::string encode(const ConfigSnapshot &snapshot)
{
    return dump({ { "version", snapshot.version }, { "lines", snapshot.lines } });
}

Result<ConfigHeadRow> decodeHead(const std::string &value)
{
    return decodeWith<ConfigHeadRow>(value, [](const json &it) {
        return ConfigHeadRow { number<ConfigVersion>(it, "version"),
                               number<ConfigVersion>(it, "snapshot") };
    });
}

Result<ConfigDelta> decodeDelta(const std::string &value)
{
    return decodeWith<ConfigDelta>(value, [](const json &it) {
        return ConfigDelta { number<ConfigVersion>(it, "version"),
                             it.at("added").get<std::vector<std::string>>(),
                             it.at("removed").get<std::vector<std::string>>(),
                             it.at("author").get<std::string>(),
                             ChangeId(it.at("change").get<std::string>()) };
    });
}

Result<MemberRow> decodeMember(const std::string &value)
{
    return decodeWith<MemberRow>(value, [](const json &it) {
        MemberRow row { toMember(it), 0, std::nullopt };
        if (it.contains("entry")) {
            const auto &entry = it.at("entry");
            row.entry = EntryAddress { row.member.vm,
                                       { entry.at("host").get<std::string>(),
                                         number<std::uint16_t>(entry, "port") },
                                       entry.at("leaving").get<bool>() };
        }
        return row;
    });
}

Result<RoleRow> decodeRole(const std::string &value)
{
    return decodeWith<RoleRow>(value, [](const json &it) {
        RoleRow row { RoleId(it.at("role").get<std::string>()), toMember(it.at("holder")),
                      number<Epoch>(it, "epoch"), 0, std::nullopt };
        if (it.contains("handover"))
            row.handover = RateHandover { number<std::int64_t>(it.at("handover"), "level"),
                                          number<std::int64_t>(it.at("handover"), "outstanding") };
        return row;
    });
}

Result<Ledger> decodeLedger(const std::string &value)
{
    return decodeWith<Ledger>(value, [](const json &it) {
        Ledger ledger;
        for (const auto &item : it.at("replicas"))
            ledger.emplace(
                    parseReplicaKey(item.at("replica").get<std::string>()),
                    LedgerEntry { IntentId(item.at("intent").get<std::string>()),
                                  item.at("action") == "load" ? IntentAction::Load
                                                              : IntentAction::Unload,
                                  number<Bytes>(item, "bytes"), number<Epoch>(item, "epoch"),
                                  IncarnationId(item.at("incarnation").get<std::string>()) });
        return ledger;
    });
}

Result<ReplicaPlaces> decodePlaces(const std::string &value)
{
    return decodeWith<ReplicaPlaces>(value, [](const json &it) {
        ReplicaPlaces places;
        for (const auto &target : it.at("targets"))
            places.emplace(target.get<std::string>());
        return places;
    });
}

Result<IdempotencyRecord> decodeIdempotencyRecord(const std::string &value)
{
    return decodeWith<IdempotencyRecord>(value, [](const json &it) {
        IdempotencyRecord record;
        const auto state = number<int>(it, "state");
        record.state = state == 0 ? IdempotencyState::Claimed
                : state == 1      ? IdempotencyState::Done
                                  : IdempotencyState::Unknown;
        record.requestDigest = it.at("digest").get<std::string>();
        record.claim = ChangeId(it.at("claim").get<std::string>());
        if (it.contains("answer")) {
            const auto &response = it.at("answer");
            record.response = RecordedResponse { number<unsigned>(response, "status"),
                                                 response.at("type").get<std::string>(),
                                                 response.at("body").get<std::string>() };
        }
        return record;
    });
}

Result<ConfigSnapshot> decodeSnapshot(const std::string &value)
{
    return decodeWith<ConfigSnapshot>(value, [](const json &it) {
        return ConfigSnapshot { number<ConfigVersion>(it, "version"),
                                it.at("lines").get<LineSet>() };
    });
}

} // namespace bluebell::rows
