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
          gateway(program, folder, store, 1)
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

/// A request whose transfer coding is not "chunked"; its body reads like another request.
int smuggled(Site &site)
{
    const auto inner =
            textOf({ "POST", "/order/inner", "inner-1", lengthOf("one box"), "one box" });
    const std::string framing = site.hasTrouble ? "Transfer-Encoding: gzip\r\n" : lengthOf(inner);
    const auto channel = connectTo(site.gateway.callers());
    (void)channel->send(textOf({ "POST", "/order/outer", "outer-1", framing, inner }));
    site.record.line("client sends one request, outer-1, with '"
                     + framing.substr(0, framing.size() - 2) + "' and a body of "
                     + std::to_string(inner.size()) + " bytes that reads like a request inner-1");
    constexpr int MaxResponses = 3;
    for (int n = 0; n < MaxResponses; ++n) {
        std::string head;
        std::string body;
        if (channel->readResponse(head, body, 2) == 0)
            break;
        site.record.line("client gets '" + firstLine(head) + "' " + body);
    }
    bool isBroken = false;
    for (const auto &run : site.server.runs()) {
        const bool isInner = run.attempt == "inner-1";
        const bool isChanged = run.attempt == "outer-1" && run.bodySize != inner.size();
        if (isInner)
            site.record.line("UNASKED: inner-1 ran, which no client sent as a request");
        if (isChanged)
            site.record.line("UNASKED: outer-1 ran with another body than the client's");
        isBroken = isBroken || isInner || isChanged;
    }
    return isBroken ? Broken : Held;
}

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

int runScenario(const std::string &name, Site &site)
{
    if (!site.awaitServing())
        return NotRun;
    if (name == "smuggled")
        return smuggled(site);
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
    {
        Site site(argv[2], argv[3], record, hasTrouble);
        outcome = runScenario(argv[1], site);
    }
    constexpr std::array<const char *, 3> Texts { "the rule held", "the rule was broken",
                                                  "the case did not run" };
    record.line(std::string(hasTrouble ? "with" : "without")
                + " the disruption: " + Texts[static_cast<std::size_t>(outcome)]);
    std::quick_exit(outcome);
}
