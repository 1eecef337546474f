#include "rate/sharedrate.h"

#include <gtest/gtest.h>

#include <memory>
#include <random>
#include <vector>

using namespace bluebell;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start { 100s };
constexpr RateLimit Limit { 10000, 10000 };

/// Daemons that exchange their admission counts with a delay.
class Cluster
{
public:
    Cluster(std::size_t daemons, Duration delay) : m_delay(delay)
    {
        for (std::size_t n = 0; n < daemons; ++n) {
            m_rates.push_back(std::make_unique<SharedRate>(Limit, Start));
            m_rates.back()->setDaemonCounts(daemons, daemons, Start);
        }
    }

    bool admit(std::size_t daemon, Tokens tokens, TimePoint now)
    {
        deliver(now);
        if (m_rates[daemon]->admit(tokens, now))
            return false;
        m_inTransit.push_back({ now + m_delay, daemon, m_rates[daemon]->admitted() });
        return true;
    }

    SharedRate &rate(std::size_t daemon) { return *m_rates[daemon]; }

private:
    struct Update
    {
        TimePoint at;
        std::size_t from = 0;
        Tokens total = 0;
    };

    void deliver(TimePoint now)
    {
        for (const auto &it : m_inTransit)
            if (it.at <= now)
                for (std::size_t n = 0; n < m_rates.size(); ++n)
                    if (n != it.from)
                        m_rates[n]->noteAdmitted(IncarnationId(std::to_string(it.from)), it.total,
                                                 now);
        std::erase_if(m_inTransit, [&](const auto &it) { return it.at <= now; });
    }

    Duration m_delay;
    std::vector<std::unique_ptr<SharedRate>> m_rates;
    std::vector<Update> m_inTransit;
};

} // namespace

TEST(SharedRate, ForgetsDaemonsThatAreGone)
{
    SharedRate rate(Limit, Start);
    rate.noteAdmitted(IncarnationId("gone"), 1000, Start);
    const auto later = Start + SharedRate::PeerTotalLifetime + 1s;
    rate.noteAdmitted(IncarnationId("other"), 50, later);
    const auto level = rate.level(later);
    rate.noteAdmitted(IncarnationId("gone"), 5000, later);
    EXPECT_EQ(rate.level(later), level);
}

TEST(SharedRate, AdmitsWithinTheRateWithoutRefusals)
{
    Cluster cluster(8, 200ms);
    std::mt19937 random(7);
    int refused = 0;
    for (int n = 0; n < 1000; ++n)
        refused += cluster.admit(random() % 8, 50, Start + n * 10ms) ? 0 : 1;
    EXPECT_EQ(refused, 0);
}

TEST(SharedRate, ManyDaemonsTogetherKeepTheBound)
{
    constexpr Duration Delay = 100ms;
    Cluster cluster(8, Delay);
    std::mt19937 random(11);
    Tokens admitted = 0;
    constexpr Duration Length = 8s;
    for (Duration t {}; t < Length; t += 5ms)
        admitted += cluster.admit(random() % 8, 200, Start + t) ? 200 : 0;
    const auto bound = Limit.burst + Limit.rate * 8;
    // 40,000 tokens/s are offered, so 4,000 tokens may be admitted in excess during the delay of
    // 100 ms.
    EXPECT_LE(admitted, bound + 4000);
    EXPECT_GE(admitted, bound * 9 / 10);
}

TEST(SharedRate, IsolatedDaemonUsesOnlyItsShareOfTheRefill)
{
    SharedRate isolated(Limit, Start);
    isolated.setDaemonCounts(8, 1, Start);
    Tokens admitted = 0;
    for (Duration t {}; t < 8s; t += 5ms)
        admitted += isolated.admit(50, Start + t) ? 0 : 50;
    EXPECT_LE(admitted, (Limit.burst + Limit.rate * 8) / 8 + Limit.burst);
}

TEST(SharedRate, RefusalReturnsTheTimeUntilTheLevelSuffices)
{
    SharedRate rate(Limit, Start);
    ASSERT_FALSE(rate.admit(5000, Start));
    const auto wait = rate.admit(1000, Start);
    ASSERT_TRUE(wait);
    EXPECT_FALSE(rate.admit(1000, Start + *wait + 1ms));
}

TEST(SharedRate, LoweredLimitReducesTheLevel)
{
    SharedRate rate(Limit, Start);
    rate.setLimit({ 100, 100 }, Start + 5s);
    EXPECT_LE(rate.level(Start + 5s), 100);
}

TEST(SharedRate, RefundsRequestsThatDidNotRun)
{
    SharedRate rate(Limit, Start);
    ASSERT_FALSE(rate.admit(4000, Start));
    rate.refund(4000);
    EXPECT_EQ(rate.admitted(), 0);
    EXPECT_FALSE(rate.admit(5000, Start));
}
