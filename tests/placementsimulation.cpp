#include "tests/placementsimulation.h"

#include "tests/virtualtime.h"

#include <algorithm>
#include <deque>
#include <string>

namespace bluebell::tests {
namespace {

constexpr Duration Step = std::chrono::milliseconds(20);
constexpr Duration ReportInterval = std::chrono::milliseconds(200);
constexpr Duration UnloadTime = std::chrono::milliseconds(100);
constexpr Duration ServiceTime = std::chrono::milliseconds(500);
constexpr Bytes Memory = 80;
constexpr Bytes GiB = 1ULL << 30U;

/// A model engine that deduplicates intents and, if configured, checks fencing numbers.
class FakeTarget
{
public:
    FakeTarget(bool checksFencing, Duration loadTime)
        : m_checksFencing(checksFencing), m_loadTime(loadTime)
    {
        restart();
    }

    void restart()
    {
        m_report = {};
        m_report.incarnation = IncarnationId("run-" + std::to_string(++m_runs));
        m_known.clear();
        m_due.clear();
        m_epoch = 0;
    }

    bool order(const TargetOrder &it, TimePoint now, bool failsLoad, double storeFactor)
    {
        const bool isForThisRun = it.entry.incarnation == m_report.incarnation;
        if (m_checksFencing && (it.entry.epoch < m_epoch || !isForThisRun))
            return false;
        m_epoch = std::max(m_epoch, it.entry.epoch);
        if (!m_known.insert(it.entry.intent).second)
            return false;
        auto *replica = find(it.key);
        if (it.entry.action == IntentAction::Load) {
            if (replica != nullptr) {
                m_report.refused.push_back(it.entry.intent);
                return false;
            }
            m_report.replicas.push_back(
                    { it.key, ReplicaState::Loading, it.entry.bytes, it.entry.intent, 0 });
            const auto tier = m_report.tiers.contains(it.key.model) ? 0.2 : storeFactor;
            const auto time = std::chrono::duration_cast<Duration>(m_loadTime * tier);
            m_due[it.key] = { now + time, failsLoad };
            return true;
        }
        if (replica != nullptr && replica->running > 0)
            m_known.erase(it.entry.intent);
        else if (replica != nullptr) {
            replica->state = ReplicaState::Unloading;
            m_due[it.key] = { now + UnloadTime, false };
        }
        return false;
    }

    void advance(TimePoint now)
    {
        for (auto it = m_due.begin(); it != m_due.end();) {
            if (it->second.at > now) {
                ++it;
                continue;
            }
            auto *replica = find(it->first);
            if (replica->state == ReplicaState::Loading && !it->second.fails) {
                replica->state = ReplicaState::Resident;
                m_report.tiers[it->first.model] = CacheTier::Disk;
            } else {
                if (it->second.fails)
                    m_report.refused.push_back(replica->intent);
                std::erase_if(m_report.replicas, [&](const auto &r) { return r.key == it->first; });
            }
            it = m_due.erase(it);
        }
    }

    ReportedReplica *find(const ReplicaKey &key)
    {
        for (auto &it : m_report.replicas)
            if (it.key == key)
                return &it;
        return nullptr;
    }

    TargetReport report()
    {
        ++m_report.sequence;
        return m_report;
    }

    [[nodiscard]] const TargetReport &state() const { return m_report; }
    void setLeaving(bool isLeaving) { m_report.isLeaving = isLeaving; }

    [[nodiscard]] Bytes used() const
    {
        Bytes sum = 0;
        for (const auto &it : m_report.replicas)
            sum += it.bytes;
        return sum;
    }

    [[nodiscard]] std::size_t loading() const
    {
        return static_cast<std::size_t>(
                std::count_if(m_report.replicas.begin(), m_report.replicas.end(),
                              [](const auto &it) { return it.state == ReplicaState::Loading; }));
    }

private:
    struct Due
    {
        TimePoint at;
        bool fails = false;
    };

    bool m_checksFencing;
    Duration m_loadTime;
    int m_runs = 0;
    Epoch m_epoch = 0;
    TargetReport m_report;
    std::set<IntentId> m_known;
    std::map<ReplicaKey, Due> m_due;
};

struct Request
{
    ReplicaKey key;
    std::size_t daemon = 0;
    TimePoint arrival;
    bool isColdStart = false;
};

std::string ruleText(const PlacementScenario &scenario)
{
    std::string text = "class c weight=1 timeout=60s # t\n"
                       "organisation o rate=1/s burst=1 class=c # t\n"
                       "store s loads=3/s concurrent=4 adapters=30 # t\n";
    text += scenario.placement == PlacementKind::TierAware
            ? "policy p placement=tier-aware idle=10s # t\n"
            : "policy p placement=least-loaded idle=10s # t\n";
    for (std::size_t n = 0; n < scenario.targets; ++n)
        text += "target t" + std::to_string(n) + " address=127.0.0.1:" + std::to_string(9000 + n)
                + " datacentre=d kind=engine memory=80GiB slots=4 fencing="
                + (scenario.checksFencing ? "yes" : "no") + " # t\n";
    for (std::size_t n = 0; n < scenario.models; ++n)
        text += "model m" + std::to_string(n) + " memory=" + std::to_string(18 + n % 3 * 8)
                + "GiB replicas=" + std::to_string(1 + n % 2) + " # t\n";
    return text;
}

class Simulation : private VirtualTime
{
public:
    explicit Simulation(const PlacementScenario &scenario)
        : VirtualTime(scenario.seed), m_scenario(scenario)
    {
        m_rules =
                std::make_shared<const RuleSet>(parseRules("w", ruleText(scenario)).value().rules);
        for (const auto &[id, rule] : m_rules->targets)
            m_targets.emplace(id, FakeTarget(rule.checksFencing, scenario.loadTime));
    }

    PlacementOutcome run(bool isCoordinated)
    {
        const auto end = m_now + m_scenario.length;
        if (isCoordinated)
            startPlanner();
        auto nextReport = m_now;
        while (m_now < end) {
            runDueTasks();
            for (auto &[id, target] : m_targets)
                target.advance(m_now);
            generateRequests();
            injectFaults();
            if (m_now >= nextReport) {
                nextReport += ReportInterval;
                for (auto &planner : m_planners)
                    report(*planner);
            }
            if (isCoordinated)
                for (auto &planner : m_planners)
                    runPlanner(*planner);
            else
                runUncoordinated();
            serve();
            checkInvariants();
            m_now += Step;
        }
        return m_outcome;
    }

private:
    void startPlanner()
    {
        ++m_epoch;
        auto planner = std::make_unique<LoadPlanner>("p" + std::to_string(m_epoch), m_epoch,
                                                     LoadPlanner::Settings {}, m_now);
        planner->noteRules(m_rules);
        readRows(*planner);
        report(*planner);
        m_planners.push_back(std::move(planner));
    }

    void readRows(LoadPlanner &planner)
    {
        for (const auto &[id, rule] : m_rules->targets)
            planner.noteLedger(id, m_ledgers[id], m_ledgerVersions[id]);
        for (const auto &[key, places] : m_places)
            planner.notePlaces(key, places, m_placeVersions[key]);
    }

    void report(LoadPlanner &planner)
    {
        for (auto &[id, target] : m_targets)
            planner.noteReport(id, target.report(), m_now);
        std::map<ReplicaKey, std::pair<std::uint32_t, TimePoint>> waiting;
        for (const auto &it : m_waiting) {
            auto &[count, oldest] = waiting.try_emplace(it.key, 0, it.arrival).first->second;
            ++count;
            oldest = std::min(oldest, it.arrival);
        }
        for (const auto &[key, it] : waiting)
            planner.noteDemand(
                    key, { VmId("d"), OrganisationId("o"), it.first, 0, m_now - it.second }, m_now);
    }

    void runPlanner(LoadPlanner &planner)
    {
        for (const auto &change : planner.plan(m_now))
            commit(planner, change);
        if (!planner.staleTargets().empty())
            readRows(planner);
        for (const auto &order : planner.orders(m_now)) {
            planner.noteOrderSent(order, m_now);
            send(order);
        }
    }

    void commit(LoadPlanner &planner, const LedgerChange &change)
    {
        auto &ledgerVersion = m_ledgerVersions[change.target];
        auto &placeVersion = m_placeVersions[change.key];
        if (ledgerVersion != change.ledgerVersion || placeVersion != change.placesVersion) {
            planner.noteConflict(change);
            return;
        }
        m_ledgers[change.target] = change.ledger;
        m_places[change.key] = change.places;
        ledgerVersion = placeVersion = ++m_version;
        if (m_scenario.faults.losesReplies && uniform() < 0.1)
            planner.noteConflict(change);
        else
            planner.noteCommitted(change, m_version);
    }

    void send(const TargetOrder &order)
    {
        const auto &faults = m_scenario.faults;
        int copies = 1;
        if (faults.losesOrders)
            copies = uniform() < 0.2 ? 0 : (uniform() < 0.2 ? 2 : 1);
        for (int n = 0; n < copies; ++n) {
            const bool isLate = faults.lateOrders && uniform() < 0.1;
            const auto delay = isLate
                    ? std::chrono::milliseconds(static_cast<int>(30000 * uniform()))
                    : std::chrono::milliseconds(2);
            runAfter(delay, [this, order] { deliver(order); });
        }
    }

    void deliver(const TargetOrder &order)
    {
        std::size_t loading = 0;
        for (const auto &[id, target] : m_targets)
            loading += target.loading();
        const double slowness = m_scenario.faults.slowsStore && uniform() < 0.3 ? 10 : 1;
        const auto factor = slowness * std::max(1.0, static_cast<double>(loading + 1) / 4);
        const bool fails = m_scenario.faults.loadsFail && uniform() < 0.2;
        if (m_targets.at(order.target).order(order, m_now, fails, factor))
            ++m_outcome.loads;
    }

    void generateRequests()
    {
        const auto count =
                std::poisson_distribution<int>(m_scenario.requests * toSeconds(Step))(m_random);
        for (int n = 0; n < count; ++n) {
            // Popularity is skewed: a few models get most requests. Bursts arrive at many daemons.
            const auto skewed = uniform() * uniform();
            const auto model =
                    static_cast<std::size_t>(skewed * static_cast<double>(m_scenario.models));
            const ReplicaKey key { ModelId("m" + std::to_string(model)), AdapterId() };
            const int burst = uniform() < 0.2 ? 6 : 1;
            for (int k = 0; k < burst; ++k) {
                const auto daemon = static_cast<std::size_t>(
                        uniform() * static_cast<double>(m_scenario.daemons));
                ++m_outcome.requests;
                m_waiting.push_back({ key, daemon, m_now, residentTarget(key) == nullptr });
            }
        }
    }

    FakeTarget *residentTarget(const ReplicaKey &key)
    {
        for (auto &[id, target] : m_targets) {
            const auto *replica = target.find(key);
            if (replica != nullptr && replica->state == ReplicaState::Resident
                && !target.state().isLeaving)
                return &target;
        }
        return nullptr;
    }

    void serve()
    {
        for (auto it = m_waiting.begin(); it != m_waiting.end();) {
            auto *target = residentTarget(it->key);
            if (target == nullptr) {
                ++it;
                continue;
            }
            ++m_outcome.served;
            if (it->isColdStart)
                m_outcome.coldStarts.push_back(m_now - it->arrival);
            ++target->find(it->key)->running;
            runAfter(ServiceTime, [target, key = it->key] {
                if (auto *replica = target->find(key); replica != nullptr && replica->running > 0)
                    --replica->running;
            });
            it = m_waiting.erase(it);
        }
    }

    void injectFaults()
    {
        const auto &faults = m_scenario.faults;
        const auto happens = [this](double perSecond) {
            return VirtualTime::happens(perSecond, Step);
        };
        if (faults.takeovers && happens(0.1))
            startPlanner();
        // The former holder with the oldest epoch, which kept acting after the takeover, stops.
        if (m_planners.size() > 1 && happens(0.2))
            m_planners.erase(m_planners.begin());
        for (auto &[id, target] : m_targets) {
            if (faults.targetsRestart && happens(0.02))
                target.restart();
            if (faults.targetsLeave && happens(0.05))
                target.setLeaving(uniform() < 0.5);
        }
    }

    /// Baseline: each daemon loads the models that its own requests need, on the target with the
    /// least memory in use.
    void runUncoordinated()
    {
        for (const auto &request : m_waiting) {
            const auto requestedLoad = std::pair(request.daemon, request.key);
            if (!m_requestedLoads.insert(requestedLoad).second
                || residentTarget(request.key) != nullptr)
                continue;
            FakeTarget *best = nullptr;
            for (auto &[id, target] : m_targets)
                if (target.find(request.key) == nullptr
                    && (best == nullptr || target.used() < best->used()))
                    best = &target;
            if (best == nullptr)
                continue;
            const auto bytes = m_rules->models.at(request.key.model).memory;
            evictIdle(*best, bytes);
            LedgerEntry entry { IntentId("u" + std::to_string(++m_version)), IntentAction::Load,
                                bytes, 1, best->state().incarnation };
            if (best->order({ TargetId(), request.key, entry }, m_now, false, 1))
                ++m_outcome.loads;
        }
        std::erase_if(m_requestedLoads, [this](const auto &it) {
            return std::none_of(m_waiting.begin(), m_waiting.end(), [&](const Request &r) {
                return r.daemon == it.first && r.key == it.second;
            });
        });
    }

    void evictIdle(FakeTarget &target, Bytes bytes)
    {
        while (target.used() + bytes > Memory * GiB) {
            const auto &replicas = target.state().replicas;
            const auto idle = std::find_if(replicas.begin(), replicas.end(), [](const auto &it) {
                return it.state == ReplicaState::Resident && it.running == 0;
            });
            if (idle == replicas.end())
                return;
            const LedgerEntry entry { IntentId("u" + std::to_string(++m_version)),
                                      IntentAction::Unload, 0, 1, target.state().incarnation };
            (void)target.order({ TargetId(), idle->key, entry }, m_now, false, 1);
            target.advance(m_now + UnloadTime);
        }
    }

    void checkInvariants()
    {
        std::map<ReplicaKey, std::uint32_t> replicas;
        for (const auto &[id, target] : m_targets) {
            if (target.used() > Memory * GiB)
                ++m_outcome.overcommitted;
            for (const auto &it : target.state().replicas) {
                ++replicas[it.key];
                if (it.state == ReplicaState::Resident && it.running == 0)
                    m_outcome.idleSeconds += toSeconds(Step);
            }
        }
        for (const auto &[key, count] : replicas)
            if (count > m_rules->models.at(key.model).replicas)
                ++m_outcome.tooManyReplicas;
    }

    PlacementScenario m_scenario;
    std::shared_ptr<const RuleSet> m_rules;
    std::map<TargetId, FakeTarget> m_targets;
    std::vector<std::unique_ptr<LoadPlanner>> m_planners;
    Epoch m_epoch = 0;
    std::map<TargetId, Ledger> m_ledgers;
    std::map<TargetId, RowVersion> m_ledgerVersions;
    std::map<ReplicaKey, ReplicaPlaces> m_places;
    std::map<ReplicaKey, RowVersion> m_placeVersions;
    RowVersion m_version = 0;
    std::deque<Request> m_waiting;
    std::set<std::pair<std::size_t, ReplicaKey>> m_requestedLoads;
    PlacementOutcome m_outcome;
};

} // namespace

PlacementOutcome runPlacementSimulation(const PlacementScenario &scenario)
{
    return Simulation(scenario).run(true);
}

PlacementOutcome runUncoordinatedLoads(const PlacementScenario &scenario)
{
    return Simulation(scenario).run(false);
}

} // namespace bluebell::tests
