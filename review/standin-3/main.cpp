#include "standin.h"

#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <sys/resource.h>
#include <thread>

/// \file
/// The scenarios of the third review: `standin SCENARIO GATEWAY FOLDER RECORD`.
///
/// The process ends with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
/// With TROUBLE=0 in the environment it does the same without the disruption.

namespace review {
namespace {

enum Outcome { Held = 0, Broken = 1, NotRun = 2 };

constexpr double AnswerSeconds = 8;
const std::string Key = "key-1";

struct RequestText
{
    std::string method;
    std::string path;
    std::string attempt;
    /// Header lines that tell the length of the body, and others.
    std::string headers;
    std::string body;
};

std::string textOf(const RequestText &request)
{
    return request.method + " " + request.path + " HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: "
            + request.attempt + "\r\nX-Deadline-Ms: 8000\r\nAuthorization: Bearer " + Key + "\r\n"
            + request.headers + "\r\n" + request.body;
}

std::string lookUp(const std::string &attempt)
{
    return textOf({ "GET", "/look/shelf", attempt, "", "" });
}

std::string lengthOf(const std::string &body)
{
    return "Content-Length: " + std::to_string(body.size()) + "\r\n";
}

std::string firstLine(const std::string &head)
{
    return head.substr(0, head.find("\r\n"));
}

/// A store, a plain server and a gateway.
///
/// Store and server are never destroyed: their threads end with the process.
struct Site
{
    Record &record;
    bool hasTrouble;
    Store &store;
    PlainServer &server;
    Gateway gateway;

    Site(const std::string &program, const std::string &folder, Record &to, bool trouble)
        : record(to), hasTrouble(trouble), store(*new Store),
          server(*new PlainServer(store, record, "i-1", "stock")),
          gateway(program, folder, store.port(), "front-1")
    {
        store.put("op", "config", siteConfig(7).dump());
        gateway.start();
    }

    /// \returns whether the gateway is ready and has served a request
    [[nodiscard]] bool awaitServing() const
    {
        constexpr int MaxTries = 100;
        bool isServing = false;
        for (int n = 0; gateway.awaitReady(10) && !isServing && n < MaxTries; ++n) {
            std::string head;
            std::string body;
            const auto channel = connectTo(gateway.callers());
            isServing = channel && channel->send(lookUp("warm-" + std::to_string(n)))
                    && channel->readResponse(head, body, 2) == 200;
            sleepMs(100);
        }
        return isServing;
    }
};

/// A server that fails part of its orders after it has run them, with status 503 and without the
/// header that says that an order was not run.
int refusedAfterRun(Site &site)
{
    constexpr int Orders = 10;
    constexpr int FailsEvery = 3;
    std::atomic<int> received = 0;
    std::mutex mutex;
    std::map<std::string, int> placed;
    site.server.work = [&](const Request &request, Channel &channel) {
        const bool fails = received++ % FailsEvery == 0 && site.hasTrouble;
        sleepMs(20);
        {
            const std::lock_guard lock(mutex);
            ++placed[request.body];
        }
        site.record.line("server has placed '" + request.body + "' and answers "
                         + (fails ? "503" : "200"));
        (void)channel.send(response(fails ? 503 : 200, site.server.headOf(request), "x"));
    };
    int refused = 0;
    for (int n = 0; n < Orders; ++n) {
        const auto order = "order " + std::to_string(n);
        // Clients repeat an order only after a promise that it has not run, on a new channel.
        for (int tries = 0; tries < 2; ++tries) {
            const auto attempt = "order-" + std::to_string(n) + "-" + std::to_string(tries);
            const auto channel = connectTo(site.gateway.callers());
            (void)channel->send(textOf({ "POST", "/order/a", attempt, lengthOf(order), order }));
            std::string head;
            std::string body;
            const int status = channel->readResponse(head, body, AnswerSeconds);
            site.record.line("client sent '" + order + "' as " + attempt + " and gets '"
                             + firstLine(head) + "'");
            if (status != 503 && status != 429)
                break;
            ++refused;
            site.record.line("REFUSED: " + attempt + " is answered " + std::to_string(status)
                             + " and has run");
        }
    }
    for (const auto &[order, count] : placed)
        if (count > 1)
            site.record.line("'" + order + "' was placed " + std::to_string(count) + " times");
    return refused > 0 ? Broken : Held;
}

/// Keeps `count` requests open that get a byte of their header every half second.
class SlowClients
{
public:
    SlowClients(int port, std::size_t count) : m_port(port), m_channels(count)
    {
        const auto text = textOf({ "GET", "/look/slow", "slow", "X-Filler: ", "" });
        m_begin = text.substr(0, text.size() - 2);
        m_thread = std::thread([this] { run(); });
    }
    ~SlowClients()
    {
        m_isEnding = true;
        m_thread.join();
    }
    SlowClients(const SlowClients &) = delete;
    SlowClients &operator=(const SlowClients &) = delete;

private:
    void run()
    {
        while (!m_isEnding) {
            const auto roundEnd = Clock::now() + std::chrono::milliseconds(500);
            for (auto &channel : m_channels) {
                if (m_isEnding)
                    return;
                if (channel && !channel->isClosed() && channel->send("a"))
                    continue;
                channel = connectTo(m_port);
                if (channel)
                    (void)channel->send(m_begin);
            }
            std::this_thread::sleep_until(roundEnd);
        }
    }

    int m_port;
    std::vector<std::unique_ptr<Channel>> m_channels;
    std::string m_begin;
    std::atomic<bool> m_isEnding = false;
    std::thread m_thread;
};

/// More clients that send their headers slowly than the gateway takes channels.
int slowCallers(Site &site)
{
    constexpr std::size_t Slow = 2400;
    constexpr int Ordinary = 10;
    constexpr double StableWindowSeconds = 3;
    std::unique_ptr<SlowClients> slow;
    if (site.hasTrouble) {
        slow = std::make_unique<SlowClients>(site.gateway.callers(), Slow);
        site.record.line(std::to_string(Slow)
                         + " clients begin a request each and send a byte of its header every half "
                           "second");
    }
    sleepMs(4000);
    std::atomic<int> answeredInWindow = 0;
    std::atomic<int> answered = 0;
    std::vector<std::thread> callers;
    for (int n = 0; n < Ordinary; ++n)
        callers.emplace_back([&, n] {
            const auto attempt = "ordinary-" + std::to_string(n);
            const auto sentAt = site.record.now();
            const auto channel = connectTo(site.gateway.callers());
            std::string head;
            std::string body;
            const bool isSent = channel && channel->send(lookUp(attempt));
            const int status = isSent ? channel->readResponse(head, body, AnswerSeconds) : 0;
            const auto took = site.record.now() - sentAt;
            site.record.line("client of " + attempt + " gets '" + firstLine(head) + "' after "
                             + std::to_string(took) + " s");
            answered += status != 0 ? 1 : 0;
            answeredInWindow += status != 0 && took < StableWindowSeconds ? 1 : 0;
        });
    int ready = 0;
    constexpr int Questions = 8;
    for (int n = 0; n < Questions; ++n) {
        sleepMs(1000);
        ready += site.gateway.awaitReady(0.5) ? 1 : 0;
    }
    for (auto &caller : callers)
        caller.join();
    slow.reset();
    site.record.line("of " + std::to_string(Ordinary) + " ordinary clients on new channels "
                     + std::to_string(answeredInWindow) + " were answered within 3 s and "
                     + std::to_string(answered) + " within 8 s; the gateway answered "
                     + std::to_string(ready) + " of " + std::to_string(Questions)
                     + " questions with ready meanwhile, and is "
                     + (site.gateway.isRunning() ? "running" : "gone"));
    if (answeredInWindow == 0 && ready == Questions)
        site.record.line("RECOVER: a ready machine has taken no new channel for StableWindowMs");
    return answeredInWindow == 0 && ready == Questions ? Broken : Held;
}

/// A planned stop while each channel holds a request that is served and one that has been read.
int stoppedBehind(Site &site)
{
    constexpr std::size_t Clients = 8;
    constexpr double LossSlackSeconds = 0.2;
    site.server.workMs = 1000;
    std::vector<std::unique_ptr<Channel>> channels;
    for (std::size_t n = 0; n < Clients; ++n) {
        const auto id = std::to_string(n);
        channels.push_back(connectTo(site.gateway.callers()));
        (void)channels.back()->send(lookUp("first-" + id) + lookUp("second-" + id));
    }
    const auto sentAt = site.record.now();
    site.record.line(std::to_string(Clients)
                     + " clients have sent first-N and second-N, each on a channel of its own");
    sleepMs(300);
    if (site.hasTrouble) {
        site.gateway.signal(SIGTERM);
        site.record.line("the gateway gets SIGTERM; it has 8 s (GraceS)");
    }
    int lost = 0;
    for (std::size_t n = 0; n < Clients; ++n)
        for (const char *name : { "first-", "second-" }) {
            std::string head;
            std::string body;
            const int status = channels[n]->readResponse(head, body, AnswerSeconds);
            const auto after = site.record.now() - sentAt;
            site.record.line(std::string("client gets for ") + name + std::to_string(n) + " after "
                             + std::to_string(after) + " s '" + firstLine(head) + "'"
                             + (status == 0 ? ", the channel has ended" : ""));
            lost += status == 0 && after > LossSlackSeconds ? 1 : 0;
        }
    if (lost > 0)
        site.record.line("LOST: " + std::to_string(lost) + " requests were not answered");
    return lost > 0 ? Broken : Held;
}

/// Asks for one model after the other, so that the leader has orders to send.
class ChatClients
{
public:
    explicit ChatClients(std::vector<int> ports) : m_ports(std::move(ports))
    {
        m_thread = std::thread([this] { run(); });
    }
    ~ChatClients()
    {
        m_isEnding = true;
        m_thread.join();
    }
    ChatClients(const ChatClients &) = delete;
    ChatClients &operator=(const ChatClients &) = delete;

private:
    void run()
    {
        for (std::size_t n = 0; !m_isEnding; ++n) {
            const auto model = "m" + std::to_string(n / 4 % 4);
            const auto text = textOf(
                    { "POST", "/chat/a", "chat-" + std::to_string(n),
                      "X-Model: " + model + "\r\nX-Token-Counts: 5,5\r\n" + lengthOf("x"), "x" });
            std::thread([port = m_ports[n % m_ports.size()], text] {
                std::string head;
                std::string body;
                const auto channel = connectTo(port);
                if (channel && channel->send(text))
                    (void)channel->readResponse(head, body, 3);
            }).detach();
            sleepMs(100);
        }
    }

    std::vector<int> m_ports;
    std::atomic<bool> m_isEnding = false;
    std::thread m_thread;
};

/// The leader is stopped as planned, and a sound engine falls silent for a moment meanwhile.
int silentEngine(const std::string &program, const std::string &folder, Record &record,
                 bool hasTrouble)
{
    constexpr double LeaseSeconds = 3;
    constexpr double SilenceSeconds = 1.4;
    constexpr int SilenceAfterMs = 2600;
    constexpr std::size_t FirstOrders = 4;
    auto &store = *new Store;
    store.put("op", "config", engineConfig(7).dump());
    auto &engine = *new Engine(store, record, "i-1");
    std::map<std::string, std::unique_ptr<Gateway>> gateways;
    for (const std::string name : { "front-1", "front-2" }) {
        gateways[name] = std::make_unique<Gateway>(program, folder, store.port(), name);
        gateways[name]->start();
    }
    if (!gateways["front-1"]->awaitReady(10) || !gateways["front-2"]->awaitReady(10))
        return NotRun;
    auto clients = std::make_unique<ChatClients>(
            std::vector<int> { gateways["front-1"]->callers(), gateways["front-2"]->callers() });
    for (int n = 0; n < 200 && engine.orders().size() < FirstOrders; ++n)
        sleepMs(100);
    if (engine.orders().size() < FirstOrders)
        return NotRun;
    const auto leader = engine.orders().back().holder;
    const std::string other = leader == "front-1" ? "front-2" : "front-1";
    // Clients go where the system sends them: not to a machine that stops.
    clients = std::make_unique<ChatClients>(std::vector<int> { gateways[other]->callers() });
    gateways[leader]->signal(SIGTERM);
    record.line(leader + " gets SIGTERM; it has 8 s (GraceS)");
    sleepMs(SilenceAfterMs);
    if (hasTrouble)
        engine.fallSilentAtNextOrder(SilenceSeconds);
    sleepMs(8000);
    const auto orders = engine.orders();
    bool isBroken = false;
    bool hasChanged = false;
    for (std::size_t n = 1; n < orders.size(); ++n) {
        if (orders[n].holder == orders[n - 1].holder)
            continue;
        hasChanged = true;
        const auto gap = orders[n].at - orders[n - 1].at;
        record.line("the first order of " + orders[n].holder + " came " + std::to_string(gap)
                    + " s after the last one of " + orders[n - 1].holder);
        isBroken = isBroken || gap < LeaseSeconds;
    }
    if (!hasChanged)
        return NotRun;
    if (isBroken)
        record.line("ONE: two holders have taken turns within LeaseMs");
    return isBroken ? Broken : Held;
}

/// The leader is lost for good, and a machine with its name comes at another address.
int sameName(const std::string &program, const std::string &folder, Record &record, bool hasTrouble)
{
    constexpr double LeaseSeconds = 3;
    constexpr std::size_t FirstOrders = 6;
    auto &store = *new Store;
    store.put("op", "config", engineConfig(7).dump());
    auto &engine = *new Engine(store, record, "i-1");
    std::map<std::string, std::unique_ptr<Gateway>> gateways;
    for (const std::string name : { "front-1", "front-2" }) {
        gateways[name] = std::make_unique<Gateway>(program, folder, store.port(), name);
        gateways[name]->start();
    }
    if (!gateways["front-1"]->awaitReady(10) || !gateways["front-2"]->awaitReady(10))
        return NotRun;
    const ChatClients clients({ gateways["front-1"]->callers(), gateways["front-2"]->callers() });
    for (int n = 0; n < 200 && engine.orders().size() < FirstOrders; ++n)
        sleepMs(100);
    if (engine.orders().size() < FirstOrders)
        return NotRun;
    const auto lost = engine.orders().back().holder;
    if (hasTrouble)
        gateways[lost]->signal(SIGKILL);
    const auto lostAt = record.now();
    if (hasTrouble) {
        record.line(lost + " is lost for good");
        sleepMs(1000);
        gateways[lost] = std::make_unique<Gateway>(program, folder, store.port(), lost, false);
        gateways[lost]->start();
        record.line("a new machine, also named " + lost + ", starts at another address");
    }
    sleepMs(9000);
    double last = 0;
    double first = 0;
    for (const auto &it : engine.orders()) {
        if (it.at < lostAt)
            last = it.at;
        else if (first == 0)
            first = it.at;
    }
    if (first == 0)
        return NotRun;
    if (!hasTrouble)
        return Held;
    record.line("the first order of another machine than the lost one came "
                + std::to_string(first - last) + " s after the last one of that machine");
    if (first - last < LeaseSeconds)
        record.line("ONE: two holders have taken turns within LeaseMs");
    return first - last < LeaseSeconds ? Broken : Held;
}

/// The leader is cut off while an order of it is on its way; the order arrives after the cut.
int lateOrder(const std::string &program, const std::string &folder, Record &record,
              bool hasTrouble)
{
    constexpr double CutSeconds = 12.0;
    // TCP sends lost bytes again after 0.2 s and then after twice the time before, so here 0.2,
    // 0.6, 1.4, 3.0, 6.2 and 12.6 s after it has sent them first.
    constexpr double SentAgainAfter = 12.6;
    constexpr double ThawSeconds = 0.3;
    auto &store = *new Store;
    store.put("op", "config", engineConfig(7).dump());
    auto &engine = *new Engine(store, record, "i-1");
    std::map<std::string, Link *> links;
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (int n = 1; n <= 2; ++n) {
        auto *link = new Link(store.port());
        const auto name = "front-" + std::to_string(n);
        links.emplace(name, link);
        gateways.push_back(std::make_unique<Gateway>(program, folder, link->port(), name));
        gateways.back()->start();
    }
    if (!gateways[0]->awaitReady(10) || !gateways[1]->awaitReady(10))
        return NotRun;
    const ChatClients clients({ gateways[0]->callers(), gateways[1]->callers() });
    constexpr std::size_t FirstOrders = 4;
    for (int n = 0; n < 200 && engine.orders().size() < FirstOrders; ++n)
        sleepMs(100);
    if (engine.orders().size() < FirstOrders)
        return NotRun;
    std::mutex mutex;
    std::string cutOff;
    double cutAt = 0;
    engine.delay = [&](const std::string &holder) {
        const std::lock_guard lock(mutex);
        if (!hasTrouble || (!cutOff.empty() && (cutOff != holder || cutAt == 0)))
            return 0.0;
        // While its link is cut, the daemon can open no channel for another order.
        if (!cutOff.empty())
            return record.now() < cutAt + CutSeconds ? 1000.0 : 0.0;
        cutOff = holder;
        cutAt = record.now();
        links.at(holder)->cut();
        record.line(holder
                    + " is cut off from the store and the engine while an order of it is on "
                      "its way");
        return SentAgainAfter;
    };
    constexpr int MaxWaitMs = 3000;
    for (int ms = 0; hasTrouble && cutAt == 0 && ms < MaxWaitMs; ms += 10)
        sleepMs(10);
    if (hasTrouble && cutAt == 0)
        return NotRun;
    sleepMs(static_cast<int>(CutSeconds * 1000));
    double healedAt = record.now();
    if (hasTrouble) {
        links.at(cutOff)->heal();
        record.line("the cut has healed");
    }
    sleepMs(3000);
    const auto orders = engine.orders();
    bool isBroken = false;
    for (std::size_t n = 1; n < orders.size(); ++n)
        for (std::size_t k = 0; k < n; ++k) {
            const bool isLower =
                    orders[n].fence < orders[k].fence && orders[n].holder != orders[k].holder;
            const bool isExcused =
                    orders[n].at >= healedAt && orders[n].at < healedAt + ThawSeconds;
            if (!isLower || isExcused || isBroken)
                continue;
            isBroken = true;
            record.line("ONE: the order of " + orders[n].holder + " with fence number "
                        + std::to_string(orders[n].fence) + " came after one of " + orders[k].holder
                        + " with fence number " + std::to_string(orders[k].fence) + ", "
                        + std::to_string(orders[n].at - healedAt) + " s after the cut had healed");
        }
    return isBroken ? Broken : Held;
}

int runScenario(const std::string &name, Site &site)
{
    if (!site.awaitServing())
        return NotRun;
    if (name == "refused-after-run")
        return refusedAfterRun(site);
    if (name == "slow-callers")
        return slowCallers(site);
    return name == "stopped-behind" ? stoppedBehind(site) : int(NotRun);
}

} // namespace
} // namespace review

int main(int argc, char **argv)
{
    using namespace review;
    constexpr int Arguments = 5;
    if (argc != Arguments) {
        std::cerr << "usage: standin SCENARIO GATEWAY FOLDER RECORD\n";
        return NotRun;
    }
    rlimit files {};
    getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = files.rlim_max;
    setrlimit(RLIMIT_NOFILE, &files);
    const char *trouble = std::getenv("TROUBLE");
    const bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
    auto &record = *new Record(argv[4]);
    int outcome = NotRun;
    const std::string scenario = argv[1];
    if (scenario == "late-order") {
        outcome = lateOrder(argv[2], argv[3], record, hasTrouble);
    } else if (scenario == "silent-engine") {
        outcome = silentEngine(argv[2], argv[3], record, hasTrouble);
    } else if (scenario == "same-name") {
        outcome = sameName(argv[2], argv[3], record, hasTrouble);
    } else {
        Site site(argv[2], argv[3], record, hasTrouble);
        outcome = runScenario(scenario, site);
    }
    constexpr std::array<const char *, 3> Texts { "the rule held", "the rule was broken",
                                                  "the case did not run" };
    record.line(std::string(hasTrouble ? "with" : "without")
                + " the disruption: " + Texts[static_cast<std::size_t>(outcome)]);
    std::quick_exit(outcome);
}
