#include "cases.h"

#include <algorithm>
#include <memory>
#include <thread>

namespace lab {
namespace {

constexpr double StableWindow = 3.0;
const std::string DeadlyPart = "deadbeef";

/// What the callers of sound requests got.
struct SoundRequests
{
    std::mutex mutex;
    int sent = 0;
    int complete = 0;
    int cut = 0;
};

std::string streamRequest(const std::string &id, const std::string &prefix)
{
    return requestText("POST /chat/fit", id, "key-leicester",
                       { "X-Model: m0", "X-Token-Counts: 250,20", "X-Prompt-Prefix: " + prefix,
                         "X-Deadline-Ms: 12000", "Connection: close", "Content-Length: 2" },
                       "{}");
}

} // namespace

int playDeadly(const Setup &setup)
{
    constexpr int Deadly = 14;
    constexpr double DeadlyInterval = 4.0;
    auto &store = *new Store;
    const std::vector<Server::Model> models { { "m0", 0 } };
    store.put("op", "config", siteConfig(4, models));
    auto &mutex = *new std::mutex;
    auto &crashes = *new std::vector<double>;
    std::vector<Server *> engines;
    for (int n = 0; n < 5; ++n) {
        auto &it = *new Server(store, setup.record, "e-" + std::to_string(n), "engines", 64);
        it.holdModels(models, { "m0" }, 6.0, 0.52);
        it.events = 20;
        it.eventSeconds = 0.05;
        it.deadlyPart = setup.hasTrouble ? DeadlyPart : "none";
        it.onCrash = [&] {
            const std::lock_guard lock(mutex);
            crashes.push_back(now());
        };
        it.start();
        engines.push_back(&it);
    }
    std::vector<Gateway *> gateways;
    for (const auto *name : { "front-leicester-1", "front-leicester-2", "front-leicester-3" })
        gateways.push_back(
                new Gateway(setup.root, setup.folder, name, "127.0.0.1", store.open(name), true));
    for (const auto *it : gateways)
        if (!it->awaitReady(15))
            return 2;
    pause(4);

    auto &isStopping = *new std::atomic<bool>(false);
    auto &sound = *new SoundRequests;
    std::thread([&] {
        for (int n = 0; !isStopping; ++n) {
            std::thread([&, n] {
                const auto id = "s-" + std::to_string(n);
                const auto answer =
                        gateways[static_cast<std::size_t>(n) % gateways.size()]->exchange(
                                streamRequest(id,
                                              "c0ffee:100,5ea1:50," + std::to_string(700000 + n)
                                                      + ":100"),
                                13);
                const bool isWhole = answer.ends_with("0\r\n\r\n");
                const std::lock_guard lock(sound.mutex);
                ++sound.sent;
                sound.complete += statusOf(answer) == 200 && isWhole ? 1 : 0;
                sound.cut += statusOf(answer) == 200 && !isWhole ? 1 : 0;
            }).detach();
            pause(0.1);
        }
    }).detach();
    pause(2);

    std::vector<double> sentAt;
    for (int n = 0; n < Deadly; ++n) {
        const auto id = "x-" + std::to_string(n);
        sentAt.push_back(now());
        setup.record.line("client sends " + id + ", whose prompt has the part " + DeadlyPart);
        const auto answer = gateways[static_cast<std::size_t>(n) % gateways.size()]->exchange(
                streamRequest(id,
                              "c0ffee:100," + DeadlyPart + ":50," + std::to_string(900000 + n)
                                      + ":100"),
                3);
        setup.record.line("client gets " + std::to_string(statusOf(answer)) + " for " + id);
        pause(std::max(sentAt.back() + DeadlyInterval - now(), 0.0));
    }
    isStopping = true;
    pause(2);

    int reached = 0;
    const std::lock_guard lock(mutex);
    const double from = crashes.size() >= 5 ? crashes[4] + StableWindow : -1;
    for (auto *it : engines)
        for (const auto &run : it->runs()) {
            const auto id = run.request.header("X-Attempt-Id");
            if (from < 0 || !id.starts_with("x-"))
                continue;
            if (sentAt[std::stoul(id.substr(2))] <= from)
                continue;
            ++reached;
            setup.record.line("BUDGET: " + id + " has reached server " + it->id()
                              + ", sent later than StableWindowMs after the fifth crash");
        }
    setup.record.line("crashes " + std::to_string(crashes.size())
                      + "; requests with the part that reached servers, sent later than "
                        "StableWindowMs after the fifth crash: "
                      + std::to_string(reached) + ", allowed 3");
    setup.record.line("sound requests " + std::to_string(sound.sent) + ", complete "
                      + std::to_string(sound.complete) + ", cut in their stream "
                      + std::to_string(sound.cut));
    for (auto *it : gateways)
        delete it;
    return reached > 3 ? 1 : 0;
}

} // namespace lab
