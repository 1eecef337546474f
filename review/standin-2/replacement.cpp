#include "cases.h"

#include <algorithm>
#include <csignal>
#include <map>
#include <memory>
#include <thread>

namespace lab {
namespace {

constexpr double LeaseSeconds = 3.0;
/// Time from the loss of a machine to the start of the one that takes its place.
constexpr double ReplacementSeconds = 1.0;

std::vector<Server::Model> manyModels()
{
    std::vector<Server::Model> all;
    for (int n = 0; n < 16; ++n)
        all.push_back({ "m" + std::to_string(n), 0 });
    return all;
}

/// Which machine has written each fence number into the store.
class Holders
{
public:
    void note(const std::string &machine, const std::string &table, const std::string &value)
    {
        const auto row = json::parse(value, nullptr, false);
        if (table != "bluebell-roles" || !row.is_object() || !row.contains("epoch"))
            return;
        const std::lock_guard lock(m_mutex);
        m_machines.try_emplace(row["epoch"].get<std::uint64_t>(), machine);
    }
    [[nodiscard]] std::string of(std::uint64_t fence)
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_machines.find(fence);
        return it == m_machines.end() ? "unknown" : it->second;
    }

private:
    std::mutex m_mutex;
    std::map<std::uint64_t, std::string> m_machines;
};

/// Counts the orders that follow one of another machine at the same server within the lease.
int turnsWithinLease(const std::vector<Seen> &orders, Holders &holders, Record &record)
{
    int turns = 0;
    std::string last;
    double lastAt = 0;
    for (const auto &it : orders) {
        const auto body = json::parse(it.request.body, nullptr, false);
        const auto fence = body.value("FenceToken", std::uint64_t(0));
        const auto machine = holders.of(fence);
        if (!last.empty() && machine != last && it.at - lastAt < LeaseSeconds) {
            ++turns;
            record.line("ONE: at " + it.server + ", an order of " + machine + " (fence "
                        + std::to_string(fence) + ") came "
                        + std::to_string(static_cast<int>((it.at - lastAt) * 1000))
                        + " ms after one of " + last);
        }
        last = machine;
        lastAt = it.at;
    }
    return turns;
}

} // namespace

int playReplacement(const Setup &setup)
{
    auto &store = *new Store;
    auto &holders = *new Holders;
    store.onWrite = [&holders](const std::string &machine, const std::string &table,
                               const std::string & /*key*/, const std::string &value) {
        holders.note(machine, table, value);
    };
    const auto models = manyModels();
    store.put("op", "config", siteConfig(4, models));
    std::vector<Server *> engines;
    for (int n = 0; n < 3; ++n) {
        engines.push_back(new Server(store, setup.record, "e-" + std::to_string(n), "engines", 64));
        engines.back()->holdModels(models, { "m0", "m" + std::to_string(n + 1) }, 6.0, 0.52);
        engines.back()->copyAllToDisk();
        engines.back()->start();
    }
    const auto gateway = [&](const std::string &name, const std::string &ip,
                             const std::string &machine, bool isFirst) {
        return std::make_unique<Gateway>(setup.root, setup.folder, name, ip, store.open(machine),
                                         isFirst);
    };
    auto first = gateway("front-leicester-1", "127.0.0.2", "the machine at 127.0.0.2", true);
    // It starts a moment before the other one, so that it becomes the holder.
    if (!first->awaitReady(15))
        return 2;
    auto &other =
            *gateway("front-leicester-2", "127.0.0.3", "the machine at 127.0.0.3", true).release();
    if (!other.awaitReady(15))
        return 2;
    pause(2);

    auto &isStopping = *new std::atomic<bool>(false);
    // Callers ask for models of which some are loaded and others are not.
    std::thread([&other, &isStopping] {
        for (int n = 0; !isStopping; ++n) {
            std::thread([&other, n] {
                (void)other.exchange(requestText("POST /chat/fit", "c-" + std::to_string(n),
                                                 "key-leicester",
                                                 { "X-Model: m" + std::to_string(n * 7 % 16),
                                                   "X-Token-Counts: 100,20", "X-Deadline-Ms: 12000",
                                                   "Connection: close", "Content-Length: 2" },
                                                 "{}"),
                                     13);
            }).detach();
            pause(0.3);
        }
    }).detach();
    pause(8);

    std::unique_ptr<Gateway> second;
    const auto changedAt = now();
    if (setup.hasTrouble) {
        setup.record.line("the machine at 127.0.0.2 is lost for good");
        first.reset();
        pause(ReplacementSeconds);
        setup.record.line("a new machine takes its place at 127.0.0.4, with the same NodeName");
        second = gateway("front-leicester-1", "127.0.0.4", "the machine at 127.0.0.4", false);
        if (!second->awaitReady(10))
            return 2;
    }
    pause(8);
    isStopping = true;

    int turns = 0;
    std::size_t orders = 0;
    for (auto *it : engines) {
        const auto seen = it->orders();
        turns += turnsWithinLease(seen, holders, setup.record);
        orders += static_cast<std::size_t>(std::count_if(
                seen.begin(), seen.end(), [&](const Seen &order) { return order.at > changedAt; }));
    }
    setup.record.line("orders since then " + std::to_string(orders)
                      + ", turns of two machines within LeaseMs " + std::to_string(turns));
    if (orders == 0)
        return 2;
    return turns > 0 ? 1 : 0;
}

} // namespace lab
