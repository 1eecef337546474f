#include "cases.h"

#include <algorithm>
#include <memory>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace lab {
namespace {

constexpr double RouteTimeout = 1.5;
constexpr double Allowance = 0.5;

/// A client that keeps many requests waiting at one gateway, each on a connection of its own.
class PatientClient
{
public:
    PatientClient(Gateway &gateway, std::size_t connections, std::string model)
        : m_gateway(gateway), m_model(std::move(model)), m_sockets(connections)
    {
    }

    /// Sends a request anew on each connection that has ended, until `isStopping`.
    void run(const std::atomic<bool> &isStopping)
    {
        for (auto &it : m_sockets)
            it = { send(), POLLIN, 0 };
        while (!isStopping) {
            if (::poll(m_sockets.data(), m_sockets.size(), 100) <= 0)
                continue;
            for (auto &it : m_sockets) {
                if (it.revents == 0)
                    continue;
                char buf[4096];
                if (::recv(it.fd, buf, sizeof buf, MSG_DONTWAIT) > 0)
                    continue;
                ::close(it.fd);
                it = { send(), POLLIN, 0 };
            }
        }
        for (const auto &it : m_sockets)
            ::close(it.fd);
    }
    [[nodiscard]] int sent() const { return m_sent; }

private:
    int send()
    {
        return m_gateway.connectAndSend(
                requestText("POST /review/fit", "w-" + std::to_string(++m_sent), "key-derby",
                            { "X-Model: " + m_model, "X-Token-Counts: 100,20",
                              "X-Deadline-Ms: 20000", "Connection: close", "Content-Length: 2" },
                            "{}"));
    }

    Gateway &m_gateway;
    std::string m_model;
    std::vector<pollfd> m_sockets;
    std::atomic<int> m_sent = 0;
};

} // namespace

int playWaiting(const Setup &setup)
{
    constexpr std::size_t Connections = 2000;
    auto &store = *new Store;
    const std::vector<Server::Model> models { { "m0", 15 } };
    auto config = siteConfig(4, models);
    auto review = config["Routes"][0];
    review["Name"] = "review";
    review["Prefix"] = "/review/";
    review["TimeoutMs"] = 20000;
    review["LatencyGoalMs"] = 2000;
    config["Routes"].push_back(review);
    store.put("op", "config", config);
    Server &engine = *new Server(store, setup.record, "e-1", "engines", 64);
    engine.holdModels(models, { "m0" }, 6.0, 0.52);
    engine.start();
    for (const auto *id : { "i-1", "i-2" })
        (new Server(store, setup.record, id, "plain", 6))->start();
    std::vector<Gateway *> gateways;
    for (const auto *name : { "front-leicester-1", "front-leicester-2", "front-leicester-3" })
        gateways.push_back(
                new Gateway(setup.root, setup.folder, name, "127.0.0.1", store.open(name), true));
    for (const auto *it : gateways)
        if (!it->awaitReady(15))
            return 2;
    pause(4);

    auto &crowded = *gateways.front();
    auto &isStopping = *new std::atomic<bool>(false);
    PatientClient client(crowded, setup.hasTrouble ? Connections : 20, "m0/a99");
    setup.record.line("a client of tenant derby keeps "
                      + std::to_string(setup.hasTrouble ? Connections : 20)
                      + " requests for m0/a99 at front-leicester-1, each on a connection of its "
                        "own; the model has the adapters a1 to a15");
    std::thread rogue([&] { client.run(isStopping); });
    pause(5);
    const bool isReady = crowded.awaitReady(1);
    setup.record.line(std::string("front-leicester-1 says that it is ")
                      + (isReady ? "ready" : "not ready"));

    std::mutex mutex;
    int overdue = 0;
    int unanswered = 0;
    int answered = 0;
    std::vector<std::thread> callers;
    for (int n = 0; n < 40; ++n) {
        callers.emplace_back([&, n] {
            const auto id = "o-" + std::to_string(n);
            const auto at = now();
            const auto answer = crowded.exchange(
                    requestText("POST /order/stylus", id, "key-leicester",
                                { "X-Deadline-Ms: 3000", "Connection: close", "Content-Length: 2" },
                                "{}"),
                    3);
            const auto took = now() - at;
            setup.record.line("caller sends " + id + " at " + std::to_string(at) + " and has "
                              + (statusOf(answer) > 0 ? std::to_string(statusOf(answer))
                                                      : std::string("nothing"))
                              + " after " + std::to_string(static_cast<int>(took * 1000)) + " ms");
            const std::lock_guard lock(mutex);
            answered += statusOf(answer) > 0 && took <= RouteTimeout ? 1 : 0;
            overdue += took > RouteTimeout ? 1 : 0;
            unanswered += took > RouteTimeout + Allowance ? 1 : 0;
        });
        pause(0.5);
    }
    for (auto &it : callers)
        it.join();
    isStopping = true;
    rogue.join();
    setup.record.line("requests of the client of derby " + std::to_string(client.sent())
                      + "; ordinary orders 40, answered within TimeoutMs "
                      + std::to_string(answered) + ", unanswered then " + std::to_string(overdue)
                      + ", of these without an answer half a second later "
                      + std::to_string(unanswered));
    for (auto *it : gateways)
        delete it;
    if (answered + overdue == 0)
        return 2;
    return unanswered * 2 > overdue ? 1 : 0;
}

} // namespace lab
