#include "records/configstore.h"

#include "records/rows.h"

#include <utility>

namespace asio = boost::asio;

namespace bluebell {
namespace {

/// Number of versions between two snapshots in the object store.
constexpr ConfigVersion SnapshotInterval = 200;

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
