#include "config/configreplica.h"
#include "membership/roles.h"
#include "placement/loadplanner.h"
#include "queue/requestqueue.h"
#include "rate/grantholder.h"
#include "routing/router.h"
#include "rules/parser.h"

#include <benchmark/benchmark.h>

#include <string>

/// \file
/// Processor time of the decisions as their state grows, up to the size of the target deployment.

namespace {

using namespace bluebell;

constexpr Bytes GiB = 1ULL << 30U;

TimePoint at(std::int64_t ms)
{
    return TimePoint(std::chrono::seconds(1000) + std::chrono::milliseconds(ms));
}

std::string numbered(const char *name, std::int64_t n)
{
    return name + std::to_string(n);
}

/// \returns a rule file with `adapters` adapters, and models, organisations and grants in the
/// proportions of the target deployment
std::vector<std::string> ruleLines(std::int64_t adapters, std::int64_t targets)
{
    std::vector<std::string> lines { "class c weight=1 timeout=10s # t" };
    const auto models = std::max<std::int64_t>(adapters / 21, 1);
    const auto organisations = std::max<std::int64_t>(adapters / 40, 1);
    for (std::int64_t n = 0; n < organisations; ++n)
        lines.push_back(numbered("organisation o", n) + " rate=1000/s burst=8000 class=c # t");
    for (std::int64_t n = 0; n < targets; ++n)
        lines.push_back(numbered("target t", n) + numbered(" address=10.0.", n / 250)
                        + numbered(".", n % 250)
                        + ":8000 datacentre=d kind=engine memory=640GiB fencing=yes slots=64 # t");
    for (std::int64_t n = 0; n < models; ++n)
        lines.push_back(numbered("model m", n) + " memory=80GiB replicas=40 # t");
    for (std::int64_t n = 0; n < adapters; ++n) {
        lines.push_back(numbered("adapter a", n) + numbered(" model=m", n % models)
                        + " memory=200MiB # t");
        lines.push_back(numbered("grant o", n % organisations) + numbered(" model=m", n % models)
                        + numbered(" adapter=a", n) + " # t");
    }
    return lines;
}

std::shared_ptr<const RuleSet> ruleSet(std::int64_t adapters, std::int64_t targets)
{
    std::string text;
    for (const auto &line : ruleLines(adapters, targets))
        text += line + '\n';
    auto parsed = parseRules("b", text);
    return std::make_shared<const RuleSet>(std::move(parsed.value().rules));
}

/// Applies one accepted configuration change, by number of adapters.
void applyConfigChange(benchmark::State &state)
{
    ConfigReplica replica;
    ConfigDelta first { 1, ruleLines(state.range(0), state.range(0) / 4), {}, "b", ChangeId("c") };
    (void)replica.apply({ first });
    ConfigVersion version = 1;
    const std::string line = "class more weight=1 timeout=1s # t";
    for (auto _ : state) {
        ConfigDelta delta { ++version, {}, {}, "b", ChangeId("c") };
        (version % 2 == 0 ? delta.added : delta.removed).push_back(line);
        benchmark::DoNotOptimize(replica.apply({ delta }));
    }
    state.counters["lines"] = static_cast<double>(replica.lines().size());
    state.SetComplexityN(state.range(0));
}
BENCHMARK(applyConfigChange)
        ->Arg(500)
        ->Arg(1000)
        ->Arg(2000)
        ->Arg(4000)
        ->Arg(7800)
        ->Complexity()
        ->Unit(benchmark::kMillisecond);

void authenticate(benchmark::State &state)
{
    ConfigReplica replica;
    (void)replica.apply({ { 1, ruleLines(state.range(0), 100), {}, "b", ChangeId("c") } });
    replica.noteHead(1, at(0));
    const KeyDigest digest(std::string(64, 'a'));
    for (auto _ : state)
        benchmark::DoNotOptimize(replica.authenticate(digest, at(1)));
}
BENCHMARK(authenticate)->Arg(500)->Arg(7800);

/// Acquires one grant and reports its use, by number of outstanding grants.
void acquireGrant(benchmark::State &state)
{
    RateHome home({ 1'000'000'000, 1'000'000'000 }, {}, RateHandover { 1'000'000'000, 0 }, at(0));
    for (std::int64_t n = 0; n < state.range(0); ++n)
        benchmark::DoNotOptimize(home.acquire({ GrantId(numbered("k", n)), 10, 10 }, at(0)));
    std::int64_t n = 0;
    for (auto _ : state) {
        const GrantId id(numbered("g", ++n));
        benchmark::DoNotOptimize(home.acquire({ id, 10, 10 }, at(1)));
        home.noteReport({ id, 10, 5, 5, true }, at(1));
    }
    state.SetComplexityN(state.range(0));
}
BENCHMARK(acquireGrant)->Arg(10)->Arg(50)->Arg(100)->Arg(200)->Arg(400)->Complexity();

/// Processes one read of all member and role rows, by number of daemons.
void readRoleRows(benchmark::State &state)
{
    const auto daemons = state.range(0);
    std::vector<MemberRow> members;
    std::vector<RoleRow> roles;
    std::set<RoleId> wanted;
    for (std::int64_t n = 0; n < daemons; ++n)
        members.push_back(
                { { VmId(numbered("vm-", n)), IncarnationId(numbered("i", n)), {} }, 1, {} });
    for (std::int64_t n = 0; n < daemons / 2; ++n) {
        const RoleId role(numbered("org/o", n));
        wanted.insert(role);
        roles.push_back({ role, members[static_cast<std::size_t>(n)].member, 1, 1, {} });
    }
    RoleTable table(members.front().member, {});
    std::int64_t now = 0;
    for (auto _ : state) {
        table.noteRoles(roles);
        table.noteMembers(members, at(++now * 1000));
        benchmark::DoNotOptimize(table.claims(wanted, at(now * 1000)));
    }
    state.SetComplexityN(daemons);
}
BENCHMARK(readRoleRows)
        ->Arg(8)
        ->Arg(50)
        ->Arg(100)
        ->Arg(200)
        ->Arg(400)
        ->Complexity()
        ->Unit(benchmark::kMicrosecond);

LoadPlanner planner(std::int64_t targets, const std::shared_ptr<const RuleSet> &rules)
{
    LoadPlanner it("b", 1, {}, at(0));
    it.noteRules(rules);
    for (std::int64_t n = 0; n < targets; ++n) {
        const TargetId target(numbered("t", n));
        it.noteLedger(target, {}, 0);
        TargetReport report;
        report.incarnation = IncarnationId("r");
        report.sequence = 1;
        for (std::int64_t k = 0; k < 6; ++k) {
            const ReplicaKey key { ModelId(numbered("m", (n + k) % 370)), AdapterId() };
            report.replicas.push_back({ key, ReplicaState::Resident, 80 * GiB, IntentId("x"), 1 });
        }
        it.noteReport(target, report, at(0));
    }
    return it;
}

/// Runs one planning round that has nothing to change, by number of targets.
void planWithoutChanges(benchmark::State &state)
{
    const auto rules = ruleSet(7800, state.range(0));
    auto it = planner(state.range(0), rules);
    std::vector<LedgerChange> changes;
    RowVersion version = 1;
    do {
        changes = it.plan(at(1));
        for (const auto &change : changes)
            it.noteCommitted(change, ++version);
    } while (!changes.empty());
    for (auto _ : state) {
        benchmark::DoNotOptimize(it.plan(at(2)));
        benchmark::DoNotOptimize(it.orders(at(2)));
    }
    state.SetComplexityN(state.range(0));
}
BENCHMARK(planWithoutChanges)
        ->Arg(9)
        ->Arg(146)
        ->Arg(475)
        ->Arg(950)
        ->Arg(1900)
        ->Complexity()
        ->Unit(benchmark::kMicrosecond);

/// Processes one report of a target.
void noteReport(benchmark::State &state)
{
    const auto rules = ruleSet(7800, state.range(0));
    auto it = planner(state.range(0), rules);
    TargetReport report;
    report.incarnation = IncarnationId("r");
    for (std::int64_t k = 0; k < 6; ++k)
        report.replicas.push_back({ { ModelId(numbered("m", k)), AdapterId() },
                                    ReplicaState::Resident,
                                    80 * GiB,
                                    IntentId("x"),
                                    1 });
    for (auto _ : state) {
        ++report.sequence;
        it.noteReport(TargetId("t1"), report, at(1));
    }
}
BENCHMARK(noteReport)->Arg(146)->Arg(1900);

/// Pushes and pops one request, by number of queued requests.
void queueRequest(benchmark::State &state)
{
    RequestQueue queue(FairOrder {}, { 1'000'000, 1ULL << 40U });
    TicketId ticket = 0;
    const auto push = [&] {
        ++ticket;
        (void)queue.push({ ticket, OrganisationId(numbered("o", static_cast<int>(ticket % 20))), 1,
                           100, 100, at(0), at(1'000'000) },
                         at(0));
    };
    for (std::int64_t n = 0; n < state.range(0); ++n)
        push();
    for (auto _ : state) {
        push();
        benchmark::DoNotOptimize(queue.pop(at(1)));
    }
    state.SetComplexityN(state.range(0));
}
BENCHMARK(queueRequest)->Arg(10)->Arg(100)->Arg(1000)->Arg(4000)->Complexity();

void routeRequest(benchmark::State &state)
{
    Router router(TwoChoices {}, {}, 1);
    std::set<TargetId> targets;
    for (std::int64_t n = 0; n < state.range(0); ++n) {
        const TargetId target(numbered("t", n));
        router.noteReport(target, 1, 64, false, at(0));
        targets.insert(target);
    }
    for (auto _ : state)
        benchmark::DoNotOptimize(router.choose(targets, at(1)));
    state.SetComplexityN(state.range(0));
}
BENCHMARK(routeRequest)->Arg(2)->Arg(10)->Arg(40)->Arg(100)->Complexity();

} // namespace
