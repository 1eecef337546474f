#include "peer/codec.h"
#include "records/rows.h"

#include <benchmark/benchmark.h>
#include <capnp/message.h>
#include <capnp/serialize.h>

#include <string>

/// \file
/// Size and processor time of messages between daemons, and size of stored rows.

namespace {

using namespace bluebell;

std::string numbered(const char *name, std::int64_t n)
{
    return name + std::to_string(n);
}

std::size_t wireBytes(const PeerAnswer &answer)
{
    capnp::MallocMessageBuilder message;
    detail::encode(answer, message.initRoot<wire::Answer>());
    return capnp::computeSerializedSizeInWords(message) * sizeof(capnp::word);
}

std::size_t wireBytes(const PeerQuestion &question)
{
    capnp::MallocMessageBuilder message;
    detail::encode(question, message.initRoot<wire::Question>());
    return capnp::computeSerializedSizeInWords(message) * sizeof(capnp::word);
}

SyncAnswer syncAnswer(std::int64_t daemons)
{
    SyncAnswer it;
    it.vm = VmId("vm-100");
    it.version = 1000;
    it.age = std::chrono::seconds(1);
    for (std::int64_t n = 0; n < daemons; ++n) {
        it.members.push_back(VmId(numbered("vm-", 100 + n)));
        it.contacts.push_back({ VmId(numbered("vm-", 100 + n)), std::chrono::seconds(1) });
    }
    return it;
}

/// Encodes a sync response between controllers, by number of daemons.
void syncBytes(benchmark::State &state)
{
    const PeerAnswer answer = syncAnswer(state.range(0));
    std::size_t bytes = 0;
    for (auto _ : state)
        benchmark::DoNotOptimize(bytes = wireBytes(answer));
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(syncBytes)->Arg(8)->Arg(50)->Arg(100)->Arg(200)->Arg(400);

/// Encodes the same response with one changed rule line; counts the bytes that the change adds.
void syncDeltaBytes(benchmark::State &state)
{
    auto it = syncAnswer(8);
    const auto bytesWithoutUpdate = wireBytes(PeerAnswer(it));
    it.update = std::vector<ConfigDelta> {
        { 1000,
          { "organisation shop-17 rate=1000/s burst=8000 class=counter # asked for by J. Hart" },
          {},
          "operator",
          ChangeId("0123456789abcdef") }
    };
    const PeerAnswer answer = it;
    std::size_t bytes = 0;
    for (auto _ : state)
        benchmark::DoNotOptimize(bytes = wireBytes(answer));
    state.counters["bytes"] = static_cast<double>(bytes - bytesWithoutUpdate);
}
BENCHMARK(syncDeltaBytes);

void acquireBytes(benchmark::State &state)
{
    AcquireQuestion question { OrganisationId("shop-17"),
                               { GrantId("vm-100/0123456789abcdef/shop-17/0-1000"), 300, 900 },
                               {},
                               0 };
    for (std::int64_t n = 0; n < state.range(0); ++n)
        question.reports.push_back(
                { GrantId("vm-100/0123456789abcdef/shop-17/0-1000"), 900, 500, 100, false });
    const PeerAnswer answer = AcquireAnswer(Granted { question.question.id, 900, {} });
    std::size_t bytes = 0;
    for (auto _ : state)
        benchmark::DoNotOptimize(bytes = wireBytes(PeerQuestion(question)) + wireBytes(answer));
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(acquireBytes)->Arg(0)->Arg(1)->Arg(4)->Arg(16);

void wantBytes(benchmark::State &state)
{
    WantQuestion question { { ModelId("model-100"), AdapterId("adapter-1000") },
                            VmId("vm-100"),
                            { { VmId("vm-100"), OrganisationId("shop-17"), 3, 4, {} } },
                            {},
                            {} };
    WantAnswer reply;
    reply.isOwner = true;
    for (std::int64_t n = 0; n < state.range(0); ++n) {
        question.knownResident.insert(TargetId(numbered("target-", n)));
        reply.resident.push_back({ TargetId(numbered("target-", n)), 4, 64 });
    }
    std::size_t bytes = 0;
    for (auto _ : state)
        benchmark::DoNotOptimize(bytes = wireBytes(PeerQuestion(question))
                                         + wireBytes(PeerAnswer(reply)));
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(wantBytes)->Arg(1)->Arg(4)->Arg(16)->Arg(40);

void rowBytes(benchmark::State &state)
{
    const MemberRow row {
        { VmId("vm-100"), IncarnationId("0123456789abcdef"), { "10.0.0.1", 7100 } },
        1,
        EntryAddress { VmId("vm-100"), { "10.0.0.1", 8080 }, false }
    };
    const RoleRow role { RoleId("org/shop-17"), row.member, 3, 1, RateHandover { 1000, 1000 } };
    const LedgerEntry entry { IntentId("placement/0-3-1000"), IntentAction::Load, 1ULL << 36U, 3,
                              IncarnationId("0123456789abcdef") };
    Ledger ledger;
    for (int n = 0; n < 8; ++n)
        ledger[{ ModelId(numbered("model-", n)), AdapterId() }] = entry;
    const ChangeId change("0123456789abcdef");
    for (auto _ : state)
        benchmark::DoNotOptimize(rows::encode(ledger, change));
    state.counters["member"] = static_cast<double>(rows::encode(row, change).size());
    state.counters["role"] = static_cast<double>(rows::encode(role, change).size());
    state.counters["ledger_of_8"] = static_cast<double>(rows::encode(ledger, change).size());
}
BENCHMARK(rowBytes);

} // namespace
