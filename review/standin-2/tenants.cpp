#include "cases.h"

#include <memory>
#include <thread>

namespace lab {
namespace {

/// \returns the configuration of the case: the key of Derby belongs to the tenant `owner`
json configOf(std::uint64_t version, const std::string &owner,
              const std::vector<Server::Model> &models)
{
    auto it = siteConfig(version, models);
    auto review = it["Routes"][0];
    review["Name"] = "review";
    review["Prefix"] = "/review/";
    review["TimeoutMs"] = 20000;
    review["LatencyGoalMs"] = 2000;
    it["Routes"].push_back(review);
    it["Tenants"][1]["Name"] = owner;
    return it;
}

} // namespace

int playTenants(const Setup &setup)
{
    constexpr int Requests = 24;
    auto &store = *new Store;
    const std::vector<Server::Model> models { { "m0", 0 }, { "m1", 0 } };
    store.put("op", "config", configOf(4, "derby", models));
    std::vector<Server *> engines;
    for (int n = 0; n < 2; ++n) {
        engines.push_back(new Server(store, setup.record, "e-" + std::to_string(n), "engines", 64));
        engines.back()->holdModels(models, { "m0" }, 6.0, 0.52);
    }
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (const auto *name : { "front-leicester-1", "front-leicester-2", "front-leicester-3" })
        gateways.push_back(std::make_unique<Gateway>(setup.root, setup.folder, name, "127.0.0.1",
                                                     store.open(name), true));
    for (const auto &it : gateways)
        if (!it->awaitReady(15))
            return 2;
    // The machines have been in touch for longer than StableWindowMs.
    pause(4);
    // So that m1 isn't loaded before it is asked for.
    for (auto *it : engines)
        it->start();
    pause(1.0);

    std::mutex mutex;
    std::map<int, int> answers;
    std::vector<std::thread> callers;
    for (int n = 0; n < Requests; ++n)
        callers.emplace_back([&, n] {
            const auto id = "d-" + std::to_string(n);
            const auto text =
                    requestText("POST /review/fit", id, "key-derby",
                                { "X-Model: m1", "X-Token-Counts: 100,20", "X-Deadline-Ms: 20000",
                                  "Connection: close", "Content-Length: 2" },
                                "{}");
            setup.record.line("caller sends " + id + " with key-derby");
            const auto answer =
                    gateways[static_cast<std::size_t>(n) % gateways.size()]->exchange(text, 21);
            setup.record.line("caller gets " + std::to_string(statusOf(answer)) + " for " + id);
            const std::lock_guard lock(mutex);
            ++answers[statusOf(answer)];
        });
    pause(1.0);
    setup.record.line(setup.hasTrouble
                              ? "the operator writes version 5: key-derby belongs to derby-hifi now"
                              : "the operator writes version 5, in which nothing else has changed");
    store.put("op", "config", configOf(5, setup.hasTrouble ? "derby-hifi" : "derby", models));
    for (auto &it : callers)
        it.join();

    std::string text;
    for (const auto &[status, count] : answers)
        text += " " + std::to_string(count) + " x " + std::to_string(status);
    const auto denied = answers[401] + answers[403] + answers[404];
    setup.record.line("answers:" + text + "; denied " + std::to_string(denied) + " of "
                      + std::to_string(Requests) + ", allowed 5 + one in 500");
    return denied > 5 + Requests / 500.0 ? 1 : 0;
}

} // namespace lab
