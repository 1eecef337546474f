#include "tests/ratesimulation.h"

#include "tests/virtualtime.h"

#include <algorithm>

namespace bluebell::tests {
namespace {

constexpr Duration TimeStep = std::chrono::milliseconds(5);
constexpr Duration OneWayDelay = std::chrono::milliseconds(1);
constexpr Duration TakeoverTime = std::chrono::seconds(9);
constexpr Duration GossipInterval = std::chrono::seconds(1);
constexpr Duration ReportInterval = std::chrono::milliseconds(500);

/// A token bucket that knows all admissions of its simulated daemons.
class Bucket
{
public:
    explicit Bucket(RateLimit limit) : m_limit(limit), m_level(static_cast<double>(limit.burst)) { }

    bool take(Tokens tokens, TimePoint now)
    {
        advance(now);
        if (m_level < static_cast<double>(tokens))
            return false;
        m_level -= static_cast<double>(tokens);
        return true;
    }

    void refund(Tokens tokens, TimePoint now)
    {
        advance(now);
        m_level =
                std::min(m_level + static_cast<double>(tokens), static_cast<double>(m_limit.burst));
    }

    void subtract(Tokens tokens) { m_level -= static_cast<double>(tokens); }

private:
    void advance(TimePoint now)
    {
        m_level = std::min(m_level + toSeconds(now - m_at) * static_cast<double>(m_limit.rate),
                           static_cast<double>(m_limit.burst));
        m_at = now;
    }

    RateLimit m_limit;
    double m_level;
    TimePoint m_at;
};

struct Request
{
    std::size_t daemon = 0;
    Tokens prompt = 0;
    Tokens reserved = 0;
    Tokens used = 0;
    Duration runTime {};
    bool idealAdmits = false;
};

class RateSimulation : private VirtualTime
{
public:
    RateSimulation(const RateMechanism &mechanism, const RateScenario &scenario)
        : VirtualTime(scenario.seed), m_mechanism(mechanism), m_scenario(scenario),
          m_limit(scenario.limit), m_ideal(scenario.limit)
    {
        for (std::size_t n = 0; n < scenario.daemons; ++n) {
            m_holders.push_back(std::make_unique<GrantHolder>("h" + std::to_string(n)));
            const auto count = static_cast<Tokens>(scenario.daemons);
            m_split.emplace_back(RateLimit { m_limit.rate / count, m_limit.burst / count });
            m_local.emplace_back(m_limit);
        }
        m_unpublished.resize(scenario.daemons);
        if (const auto *grants = std::get_if<HomeGrants>(&mechanism))
            m_home = std::make_unique<RateHome>(m_limit, grants->home,
                                                RateHandover { m_limit.burst, 0 }, m_now);
    }

    RateOutcome run()
    {
        const auto end = m_now + m_scenario.length;
        auto nextReport = m_now;
        auto nextGossip = m_now;
        while (m_now < end) {
            runDueTasks();
            generateArrivals();
            injectFaults();
            if (m_now >= nextReport) {
                nextReport += ReportInterval;
                report();
            }
            if (m_now >= nextGossip) {
                nextGossip += GossipInterval;
                gossip();
            }
            m_now += TimeStep;
        }
        m_outcome.overAdmitted = largestExcess(m_admissions, m_scenario.limit);
        return m_outcome;
    }

private:
    Duration messageDelay()
    {
        if (m_scenario.faults.delaysMessages && uniform() < 0.05)
            return std::chrono::duration_cast<Duration>(
                    std::chrono::duration<double>(8 * uniform()));
        return OneWayDelay;
    }

    bool losesMessage() { return m_scenario.faults.losesMessages && uniform() < 0.05; }

    void generateArrivals()
    {
        constexpr double MeanUsed = 300;
        constexpr int BurstPeriod = 8;
        const auto second = static_cast<int>(toSeconds(m_now.time_since_epoch()));
        const double burstFactor = !m_scenario.bursts ? 1
                : second % BurstPeriod == 0           ? BurstPeriod
                                                      : 0;
        const auto perStep = burstFactor * m_scenario.load
                * static_cast<double>(m_scenario.limit.rate) * toSeconds(TimeStep) / MeanUsed;
        const auto count = std::poisson_distribution<int>(perStep)(m_random);
        for (int n = 0; n < count; ++n) {
            Request it;
            const auto hotDaemon = m_scenario.moves
                    ? static_cast<std::size_t>(toSeconds(m_now.time_since_epoch()) / 10)
                            % m_scenario.daemons
                    : 0;
            it.daemon = uniform() < m_scenario.skew
                    ? hotDaemon
                    : static_cast<std::size_t>(uniform() * static_cast<double>(m_scenario.daemons));
            const auto prompt = 100 + static_cast<Tokens>(100 * uniform());
            it.prompt = prompt;
            it.reserved = prompt + 300;
            it.used = uniform() < m_scenario.fullUse
                    ? it.reserved
                    : prompt + static_cast<Tokens>(300 * uniform());
            it.runTime = std::chrono::milliseconds(200 + static_cast<int>(4000 * uniform()));
            serve(it);
        }
    }

    void serve(Request it)
    {
        ++m_outcome.offered;
        it.idealAdmits = m_ideal.take(it.reserved, m_now);
        if (it.idealAdmits)
            runAfter(it.runTime, [this, it] { m_ideal.refund(it.reserved - it.used, m_now); });
        if (std::holds_alternative<HomeGrants>(m_mechanism)) {
            serveByGrant(it);
            return;
        }
        auto &bucket = std::holds_alternative<EvenSplit>(m_mechanism) ? m_split[it.daemon]
                                                                      : m_local[it.daemon];
        if (!bucket.take(it.reserved, m_now)) {
            refuse(it);
            return;
        }
        m_unpublished[it.daemon] += it.used;
        admit(it);
        runAfter(it.runTime, [this, &bucket, it] { bucket.refund(it.reserved - it.used, m_now); });
    }

    void admit(const Request &it)
    {
        ++m_outcome.admitted;
        m_admissions.push_back({ m_now, it.used });
    }

    void refuse(const Request &it)
    {
        if (it.idealAdmits)
            ++m_outcome.wrongfullyRefused;
    }

    bool admitByGrant(const Request &it)
    {
        const auto reservation = m_holders[it.daemon]->admit(it.reserved, m_now);
        if (!reservation)
            return false;
        admit(it);
        auto *holder = m_holders[it.daemon].get();
        m_running.push_back({ holder, *reservation, it, m_now });
        runAfter(it.runTime, [this, holder, reservation, it] {
            for (const auto &alive : m_holders)
                if (alive.get() == holder)
                    holder->settle(*reservation, it.used);
        });
        return true;
    }

    void serveByGrant(const Request &it)
    {
        if (admitByGrant(it))
            return;
        auto *holder = m_holders[it.daemon].get();
        const auto question = holder->question(it.reserved, m_now);
        const auto reports = holder->takeReports(m_now);
        const int copies = m_scenario.faults.repeatsQuestions && uniform() < 0.2 ? 2 : 1;
        bool isSent = false;
        for (int n = 0; n < copies; ++n) {
            ++m_outcome.messages;
            if (losesMessage())
                continue;
            isSent = true;
            runAfter(messageDelay() + n * OneWayDelay, [this, holder, question, reports, it] {
                acquire(holder, question, reports, it);
            });
        }
        if (!isSent) {
            holder->requeueReports(reports);
            refuse(it);
        }
    }

    void acquire(GrantHolder *holder, const GrantQuestion &question,
                 const std::vector<GrantReport> &reports, const Request &it)
    {
        if (!m_home || m_now < m_homePausedUntil) {
            refuse(it);
            return;
        }
        for (const auto &report : reports)
            m_home->noteReport(report, m_now);
        const auto answer = m_home->acquire(question, m_now);
        ++m_outcome.messages;
        if (losesMessage()) {
            refuse(it);
            return;
        }
        runAfter(messageDelay(), [this, holder, question, answer, it] {
            const bool isAlive =
                    std::any_of(m_holders.begin(), m_holders.end(),
                                [&](const auto &alive) { return alive.get() == holder; });
            if (!isAlive)
                return;
            if (const auto *granted = std::get_if<Granted>(&answer)) {
                holder->answered(*granted);
                if (!admitByGrant(it))
                    refuse(it);
                return;
            }
            holder->refused(question.id);
            refuse(it);
        });
    }

    /// Reports the usage of running requests to their holders: the prompt from the start, the
    /// generated tokens in proportion to the elapsed time.
    void noteProgress()
    {
        std::erase_if(m_running, [this](const Running &it) {
            return m_now - it.startedAt >= it.request.runTime;
        });
        for (const auto &it : m_running) {
            const auto generated = static_cast<double>(it.request.used - it.request.prompt);
            const auto share = toSeconds(m_now - it.startedAt) / toSeconds(it.request.runTime);
            for (const auto &alive : m_holders)
                if (alive.get() == it.holder)
                    alive->progress(it.reservation,
                                    it.request.prompt + static_cast<Tokens>(generated * share));
        }
    }

    void report()
    {
        if (m_scenario.reportsProgress)
            noteProgress();
        for (const auto &holder : m_holders) {
            const auto reports = holder->takeReports(m_now);
            if (reports.empty())
                continue;
            ++m_outcome.messages;
            if (losesMessage() || !m_home) {
                holder->requeueReports(reports);
                continue;
            }
            runAfter(messageDelay(), [this, reports] {
                if (m_home)
                    for (const auto &it : reports)
                        m_home->noteReport(it, m_now);
            });
        }
    }

    void gossip()
    {
        if (!std::holds_alternative<LocalCount>(m_mechanism))
            return;
        m_outcome.messages += m_holders.size() * (m_holders.size() - 1);
        for (std::size_t from = 0; from < m_local.size(); ++from) {
            for (std::size_t to = 0; to < m_local.size(); ++to)
                if (from != to)
                    m_local[to].subtract(m_unpublished[from]);
            m_unpublished[from] = 0;
        }
    }

    void replaceHome()
    {
        m_home.reset();
        runAfter(TakeoverTime, [this] {
            m_home = std::make_unique<RateHome>(m_limit, std::get<HomeGrants>(m_mechanism).home,
                                                m_now);
        });
    }

    void injectFaults()
    {
        const auto &faults = m_scenario.faults;
        const auto happens = [this](double perSecond) {
            return VirtualTime::happens(perSecond, TimeStep);
        };
        if (!std::holds_alternative<HomeGrants>(m_mechanism))
            return;
        if (faults.homeCrashes && m_home && happens(0.05))
            replaceHome();
        if (faults.homePauses && m_home && happens(0.05))
            m_homePausedUntil = m_now + std::chrono::seconds(5);
        if (faults.holdersCrash && happens(0.2)) {
            const auto n =
                    static_cast<std::size_t>(uniform() * static_cast<double>(m_holders.size()));
            m_holders[n] = std::make_unique<GrantHolder>("h" + std::to_string(n) + "-"
                                                         + std::to_string(++m_restarts));
        }
        if (faults.lowersLimit && m_home && happens(0.2)) {
            // The limit never exceeds that of the scenario, so the bound that is checked stays
            // valid.
            m_limit = uniform() < 0.5
                    ? m_scenario.limit
                    : RateLimit { m_scenario.limit.rate / 2, m_scenario.limit.burst / 2 };
            m_home->setLimit(m_limit, m_now);
        }
    }

    RateMechanism m_mechanism;
    RateScenario m_scenario;
    RateLimit m_limit;
    Bucket m_ideal;
    TimePoint m_homePausedUntil;
    std::unique_ptr<RateHome> m_home;
    std::vector<std::unique_ptr<GrantHolder>> m_holders;
    struct Running
    {
        GrantHolder *holder = nullptr;
        ReservationId reservation = 0;
        Request request;
        TimePoint startedAt;
    };
    std::vector<Running> m_running;
    std::vector<Bucket> m_split;
    std::vector<Bucket> m_local;
    std::vector<Tokens> m_unpublished;
    std::vector<Admission> m_admissions;
    RateOutcome m_outcome;
    int m_restarts = 0;
};

} // namespace

Tokens largestExcess(const std::vector<Admission> &admissions, RateLimit limit)
{
    Tokens largest = 0;
    for (std::size_t first = 0; first < admissions.size(); ++first) {
        Tokens sum = 0;
        for (std::size_t n = first; n < admissions.size(); ++n) {
            sum += admissions[n].used;
            const auto window = toSeconds(admissions[n].at - admissions[first].at);
            const auto bound =
                    static_cast<double>(limit.burst) + window * static_cast<double>(limit.rate);
            largest = std::max(largest, static_cast<Tokens>(static_cast<double>(sum) - bound));
        }
    }
    return largest;
}

RateOutcome runRateSimulation(const RateMechanism &mechanism, const RateScenario &scenario)
{
    return RateSimulation(mechanism, scenario).run();
}

} // namespace bluebell::tests
