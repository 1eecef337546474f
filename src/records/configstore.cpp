#include "records/configstore.h"

#include "core/digest.h"
#include "records/rows.h"

#include <utility>

namespace asio = boost::asio;

namespace bluebell {
namespace {

/// Number of versions between two snapshots in the object store.
constexpr ConfigVersion SnapshotInterval = 200;
/// Versions that one transaction writes again; the others follow with the next call.
constexpr std::size_t MaxLostVersions = 50;
constexpr std::size_t ChangeIdBytes = 8;

/// The head row with its row version; both are 0 before the first change.
struct Head
{
    rows::ConfigHeadRow row;
    RowVersion version = 0;
};

asio::awaitable<Result<Head>> readHead(RecordTable &records)
{
    auto row = co_await records.get(std::string(rows::ConfigHead));
    if (!row)
        co_return row.error();
    if (!row.value())
        co_return Head {};
    auto head = rows::decodeHead(row.value()->value);
    if (!head)
        co_return head.error();
    co_return Head { head.value(), row.value()->version };
}

asio::awaitable<Result<void>> pullSnapshot(RecordTable &records, ConfigReplica &replica,
                                           ConfigVersion version)
{
    auto object = co_await records.getObject(rows::snapshotName(version));
    if (!object)
        co_return object.error();
    auto snapshot = rows::decodeSnapshot(object.value());
    if (!snapshot)
        co_return snapshot.error();
    co_return replica.install(snapshot.value());
}

asio::awaitable<Result<void>> pullDeltas(RecordTable &records, ConfigReplica &replica)
{
    auto found = co_await records.range(std::string(rows::ConfigLogPrefix),
                                        rows::configLogKey(replica.version()));
    if (!found)
        co_return found.error();
    std::vector<ConfigDelta> deltas;
    for (const auto &row : found.value()) {
        auto delta = rows::decodeDelta(row.value);
        if (!delta)
            co_return delta.error();
        deltas.push_back(std::move(delta.value()));
    }
    co_return replica.apply(deltas);
}

Error lostVersionsError(const std::string &cause)
{
    return makeError(ErrorCode::Conflict, "versions of the configuration are lost, " + cause);
}

/// \returns whether the log has the change that `delta` made
asio::awaitable<Result<bool>> hasChange(RecordTable &records, const ConfigDelta &delta)
{
    auto row = co_await records.get(rows::configLogKey(delta.version));
    if (!row)
        co_return row.error();
    if (!row.value())
        co_return false;
    auto found = rows::decodeDelta(row.value()->value);
    if (!found)
        co_return found.error();
    co_return found.value().change == delta.change;
}

/// \returns the transaction that appends `deltas` to the log whose head is `head`
Transaction appendingLost(const Head &head, const std::vector<ConfigDelta> &deltas)
{
    const std::string headKey(rows::ConfigHead);
    const rows::ConfigHeadRow next { deltas.back().version, head.row.snapshot };
    Transaction it { ChangeId(randomHex(ChangeIdBytes)), {}, {} };
    it.conditions.push_back({ headKey, head.version });
    it.mutations.push_back({ headKey, rows::encode(next, it.change) });
    for (const auto &delta : deltas) {
        const auto key = rows::configLogKey(delta.version);
        it.conditions.push_back({ key, 0 });
        it.mutations.push_back({ key, rows::encode(delta) });
    }
    return it;
}

/// Writes the versions again that the replica has and the table service has lost.
asio::awaitable<Result<void>> writeLostVersions(RecordTable &records, const ConfigReplica &replica,
                                                Head head)
{
    // The version of the head comes first, to compare it.
    const bool isEmpty = head.row.version == 0;
    const auto update = replica.updateSince(isEmpty ? 0 : head.row.version - 1);
    const auto *kept = update ? std::get_if<std::vector<ConfigDelta>>(&*update) : nullptr;
    if (kept == nullptr)
        co_return lostVersionsError("and no longer known here");
    auto deltas = *kept;
    if (!isEmpty) {
        const auto isSame = co_await hasChange(records, deltas.front());
        if (!isSame)
            co_return isSame.error();
        if (!isSame.value())
            co_return lostVersionsError("another change has taken their place");
        deltas.erase(deltas.begin());
    }
    if (deltas.size() > MaxLostVersions)
        deltas.resize(MaxLostVersions);
    auto outcome = co_await records.commitOnce(appendingLost(head, deltas));
    if (!outcome)
        co_return outcome.error();
    co_return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace

asio::awaitable<Result<void>> pullConfig(RecordTable &records, ConfigReplica &replica)
{
    const auto sentAt = BootClock::now();
    auto head = co_await readHead(records);
    if (!head)
        co_return head.error();
    const auto &row = head.value().row;
    if (row.snapshot > replica.version() && row.snapshot > 0) {
        auto pulled = co_await pullSnapshot(records, replica, row.snapshot);
        if (!pulled)
            co_return pulled;
    }
    if (row.version > replica.version()) {
        auto pulled = co_await pullDeltas(records, replica);
        if (!pulled)
            co_return pulled;
    }
    replica.noteHead(row.version, sentAt);
    if (row.version < replica.version())
        co_return co_await writeLostVersions(records, replica, head.value());
    co_return BOOST_OUTCOME_V2_NAMESPACE::success();
}

asio::awaitable<Result<PublishOutcome>> publishConfig(RecordTable &records,
                                                      const LineSet &baseLines, ConfigVersion base,
                                                      ConfigDelta delta, TimePoint deadline)
{
    auto head = co_await readHead(records);
    if (!head)
        co_return head.error();
    if (head.value().row.version != base)
        co_return PublishOutcome(Superseded { head.value().row.version });
    delta.version = base + 1;
    auto snapshot = head.value().row.snapshot;
    if (base >= snapshot + SnapshotInterval) {
        const auto object = rows::encode(ConfigSnapshot { base, baseLines });
        if (const auto put = co_await records.putObject(rows::snapshotName(base), object); put)
            snapshot = base;
    }
    const std::string headKey(rows::ConfigHead);
    const auto logKey = rows::configLogKey(delta.version);
    Transaction transaction {
        delta.change,
        { { logKey, 0 }, { headKey, head.value().version } },
        { { logKey, rows::encode(delta) },
          { headKey, rows::encode(rows::ConfigHeadRow { delta.version, snapshot }, delta.change) } }
    };
    auto outcome = co_await records.commit(std::move(transaction), deadline);
    if (!outcome)
        co_return outcome.error();
    if (std::holds_alternative<Committed>(outcome.value()))
        co_return PublishOutcome(Published { delta.version });
    auto now = co_await readHead(records);
    co_return PublishOutcome(Superseded { now ? now.value().row.version : base + 1 });
}

} // namespace bluebell
