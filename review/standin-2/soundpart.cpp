#include "cases.h"

#include <algorithm>
#include <map>
#include <memory>
#include <thread>

namespace lab {
namespace {

const std::string DeadlyPart = "deadbeef";
const std::string SoundPart = "5ea1";

/// Time between two sound requests with the part, in seconds.
constexpr double SoundInterval = 1.4;
constexpr double StableWindow = 3.0;
/// Fewest requests before and after that the rule compares.
constexpr std::size_t MinCompared = 20;

std::string streamRequest(const std::string &id, const std::string &key, const std::string &prefix)
{
    return requestText("POST /chat/fit", id, key,
                       { "X-Model: m0", "X-Token-Counts: 250,20", "X-Prompt-Prefix: " + prefix,
                         "X-Deadline-Ms: 12000", "Connection: close", "Content-Length: 2" },
                       "{}");
}

/// A sound request with the part.
struct SoundRequest
{
    std::string id;
    double sentAt = 0;
};

/// Answers of one kind of request, by status.
struct Answers
{
    std::mutex mutex;
    std::map<int, int> byStatus;

    void note(int status)
    {
        const std::lock_guard lock(mutex);
        ++byStatus[status];
    }
    std::string text()
    {
        const std::lock_guard lock(mutex);
        std::string all;
        for (const auto &[status, count] : byStatus)
            all += " " + std::to_string(count) + " x " + std::to_string(status);
        return all;
    }
};

} // namespace

int playSoundPart(const Setup &setup)
{
    auto &store = *new Store;
    const std::vector<Server::Model> models { { "m0", 0 } };
    store.put("op", "config", siteConfig(4, models));
    auto &mutex = *new std::mutex;
    auto &crashes = *new std::vector<double>;
    std::vector<Server *> engines;
    for (int n = 0; n < 6; ++n) {
        auto &it = *new Server(store, setup.record, "e-" + std::to_string(n), "engines", 64);
        it.holdModels(models, { "m0" }, 6.0, 0.52);
        it.events = 10;
        it.eventSeconds = 0.05;
        it.deadlyPart = setup.hasTrouble ? DeadlyPart : "none";
        it.writesEventBeforeCrash = false;
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
    auto &others = *new Answers;
    auto &sound = *new Answers;
    auto &deadly = *new Answers;
    int number = 0;
    const auto ask = [&](const std::string &id, const std::string &key, const std::string &prefix,
                         Answers &answers, Gateway &gateway, bool isRecorded) {
        std::thread([&, id, key, prefix, isRecorded] {
            const auto answer = gateway.exchange(streamRequest(id, key, prefix), 13);
            answers.note(statusOf(answer));
            if (isRecorded)
                setup.record.line("caller gets " + std::to_string(statusOf(answer)) + " for " + id
                                  + " with the parts " + prefix);
        }).detach();
    };
    const auto next = [&]() -> Gateway & {
        return *gateways[static_cast<std::size_t>(number++) % gateways.size()];
    };
    // Callers of another tenant, with other parts.
    std::thread([&] {
        for (int n = 0; !isStopping; ++n) {
            ask("o-" + std::to_string(n), "key-derby",
                "beef00:100,abc:50," + std::to_string(700000 + n) + ":100", others,
                *gateways[static_cast<std::size_t>(n) % gateways.size()], false);
            pause(0.1);
        }
    }).detach();

    std::vector<SoundRequest> requests;
    const auto askSound = [&] {
        const auto id = "s-" + std::to_string(requests.size());
        requests.push_back({ id, now() });
        ask(id, "key-leicester",
            "c0ffee:100," + SoundPart + ":50," + std::to_string(800000 + requests.size()) + ":100",
            sound, next(), true);
    };
    int sentDeadly = 0;
    const auto askDeadly = [&] {
        const auto id = "x-" + std::to_string(sentDeadly++);
        setup.record.line("client sends " + id + ", whose prompt has the part " + DeadlyPart
                          + " and then the part " + SoundPart);
        ask(id, "key-leicester",
            "c0ffee:100," + DeadlyPart + ":50," + SoundPart + ":50,"
                    + std::to_string(900000 + sentDeadly) + ":100",
            deadly, next(), true);
    };
    for (std::size_t n = 0; n < MinCompared + 3; ++n) {
        askSound();
        pause(SoundInterval);
    }
    askSound();
    pause(0.3);
    const double firstDeadly = now();
    for (int n = 0; n < 3; ++n) {
        askDeadly();
        pause(0.1);
    }
    const double lastCrash = now();
    pause(SoundInterval - 0.6);
    for (int n = 0; now() < lastCrash + 2 * StableWindow + SoundInterval * (MinCompared + 3); ++n) {
        askSound();
        // Such requests still come.
        if (n % 6 == 5)
            askDeadly();
        pause(SoundInterval);
    }
    isStopping = true;
    pause(2);

    std::set<std::string> begun;
    for (auto *it : engines)
        for (const auto &run : it->runs())
            begun.insert(run.request.header("X-Attempt-Id"));
    // The fifth crash, or the last one if there are fewer; without crashes, when they would have
    // been.
    double from = lastCrash;
    {
        const std::lock_guard lock(mutex);
        if (!crashes.empty())
            from = crashes[std::min<std::size_t>(crashes.size(), 5) - 1];
        setup.record.line("crashes " + std::to_string(crashes.size()));
    }
    std::size_t before = 0;
    std::size_t begunBefore = 0;
    std::size_t after = 0;
    std::size_t begunAfter = 0;
    for (const auto &it : requests) {
        const bool isBefore = it.sentAt < firstDeadly;
        if (!isBefore && it.sentAt < from + 2 * StableWindow)
            continue;
        ++(isBefore ? before : after);
        (isBefore ? begunBefore : begunAfter) += begun.contains(it.id) ? 1 : 0;
    }
    setup.record.line("answers to sound requests with the part " + SoundPart + ":" + sound.text());
    setup.record.line("answers to requests with the part " + DeadlyPart + ":" + deadly.text());
    setup.record.line("answers to all other requests:" + others.text());
    setup.record.line("sound requests of the key begun at the first attempt: before "
                      + std::to_string(begunBefore) + " of " + std::to_string(before)
                      + ", from 2 x StableWindowMs after the last crash "
                      + std::to_string(begunAfter) + " of " + std::to_string(after));
    for (auto *it : gateways)
        delete it;
    if (before < MinCompared || after < MinCompared || begunBefore == 0)
        return 2;
    const auto shareBefore = static_cast<double>(begunBefore) / static_cast<double>(before);
    const auto shareAfter = static_cast<double>(begunAfter) / static_cast<double>(after);
    return shareAfter < shareBefore / 2 ? 1 : 0;
}

} // namespace lab
