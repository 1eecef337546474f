#include "cases.h"

#include <map>
#include <memory>
#include <thread>

namespace lab {
namespace {

/// What callers got for one model.
struct Asked
{
    int times = 0;
    int served = 0;
    double firstAt = 0;
    double lastAt = 0;
};

} // namespace

int playAdapters(const Setup &setup)
{
    auto &store = *new Store;
    std::vector<Server::Model> models;
    for (int n = 0; n < 16; ++n)
        models.push_back({ "m" + std::to_string(n), n == 0 ? 15 : 0 });
    store.put("op", "config", siteConfig(4, models));
    std::vector<Server *> engines;
    for (int n = 0; n < 3; ++n) {
        engines.push_back(new Server(store, setup.record, "e-" + std::to_string(n), "engines", 64));
        // m0 is the busy model; the others have copies on the disks.
        engines.back()->holdModels(models, { "m0", "m" + std::to_string(n + 1) }, 6.0, 0.52);
        engines.back()->copyAllToDisk();
        engines.back()->start();
    }
    std::vector<Gateway *> gateways;
    for (const auto *name : { "front-leicester-1", "front-leicester-2", "front-leicester-3" })
        gateways.push_back(
                new Gateway(setup.root, setup.folder, name, "127.0.0.1", store.open(name), true));
    for (const auto *it : gateways)
        if (!it->awaitReady(15))
            return 2;
    pause(3);

    auto &isStopping = *new std::atomic<bool>(false);
    auto &strange = *new std::atomic<int>(0);
    const std::string adapter = setup.hasTrouble ? "a99" : "a9";
    setup.record.line("one client of tenant derby asks each machine for m0/" + adapter
                      + ", one request at a time; m0 has the adapters a1 to a15");
    for (auto *gateway : gateways)
        std::thread([gateway, &isStopping, &strange, adapter] {
            while (!isStopping) {
                (void)gateway->exchange(
                        requestText("POST /chat/fit", "d-" + std::to_string(++strange), "key-derby",
                                    { "X-Model: m0/" + adapter, "X-Token-Counts: 100,20",
                                      "X-Deadline-Ms: 12000", "Connection: close",
                                      "Content-Length: 2" },
                                    "{}"),
                        13);
                pause(0.2);
            }
        }).detach();
    pause(3);

    // Ordinary callers ask for ten models in turn, three times a second.
    std::mutex mutex;
    std::map<std::string, Asked> asked;
    std::vector<std::thread> callers;
    for (int n = 0; n < 100; ++n) {
        callers.emplace_back([&, n] {
            const auto model = "m" + std::to_string(4 + n % 10);
            const auto at = now();
            const auto answer = gateways[static_cast<std::size_t>(n) % gateways.size()]->exchange(
                    requestText("POST /chat/fit", "c-" + std::to_string(n), "key-leicester",
                                { "X-Model: " + model, "X-Token-Counts: 100,20",
                                  "X-Deadline-Ms: 12000", "Connection: close",
                                  "Content-Length: 2" },
                                "{}"),
                    13);
            setup.record.line("caller asks for " + model + " and gets "
                              + std::to_string(statusOf(answer)) + " after "
                              + std::to_string(static_cast<int>((now() - at) * 1000)) + " ms");
            const std::lock_guard lock(mutex);
            auto &it = asked[model];
            it.firstAt = it.times == 0 ? at : std::min(it.firstAt, at);
            it.lastAt = std::max(it.lastAt, at);
            ++it.times;
            it.served += statusOf(answer) == 200 ? 1 : 0;
        });
        pause(0.33);
    }
    for (auto &it : callers)
        it.join();
    isStopping = true;

    int counted = 0;
    int never = 0;
    int served = 0;
    for (const auto &[model, it] : asked) {
        setup.record.line(model + ": asked " + std::to_string(it.times) + " times over "
                          + std::to_string(static_cast<int>(it.lastAt - it.firstAt)) + " s, served "
                          + std::to_string(it.served));
        served += it.served;
        if (it.times < 4 || it.lastAt - it.firstAt < 8)
            continue;
        ++counted;
        never += it.served == 0 ? 1 : 0;
    }
    const double allowed = 1 + 0.1 * counted;
    setup.record.line("requests of the client of derby " + std::to_string(strange)
                      + "; requests of ordinary callers 100, served " + std::to_string(served)
                      + "; models asked for " + std::to_string(counted) + ", never served "
                      + std::to_string(never) + ", allowed " + std::to_string(allowed));
    for (auto *it : gateways)
        delete it;
    if (counted == 0)
        return 2;
    return never > allowed ? 1 : 0;
}

} // namespace lab
