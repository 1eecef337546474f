#include "kit.h"

#include <atomic>
#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <mutex>
#include <thread>

#include <sys/socket.h>
#include <unistd.h>

/// \file
/// Case: a machine is stopped as planned while a sound server falls silent for a second or so. Are
/// the streams of that server completed?

using namespace review;

namespace {

constexpr int Streams = 12;
constexpr int Events = 12;
/// Also the route's `GapAimMs`.
constexpr int EventTimeMs = 250;
constexpr int StopAtMs = 800;
constexpr int SilenceAtMs = 1200;
constexpr int SilenceMs = 1400;
constexpr int DeadlineMs = 12000;

std::string config()
{
    return R"({"Version":1,"Limits":{"HeaderBytes":16384,"MaxBodyBytes":4194304,)"
           R"("HeaderTimeoutMs":5000,"IdleTimeoutMs":20000},"Services":[{"Name":"chat",)"
           R"("MaxConns":370,"Engine":{"WeightsMb":220000,"AdapterSlots":8,"LoadsPerS":5.5,)"
           R"("Slots":64,"Models":[{"Name":"m0","WeightsMb":72700,"LoadS":6.0,"Adapters":0,)"
           R"("AdapterMb":66}]}}],"Routes":[{"Name":"chat","Host":"shop.example",)"
           R"("Prefix":"/chat/","Service":"chat","Kind":"streaming","Resumable":true,)"
           R"("TimeoutMs":12000,"LatencyGoalMs":300,"GapAimMs":250,"MaxAttempts":2,)"
           R"("Priority":1,"Sticky":true,"Anonymous":true}]})";
}

/// A model server that holds m0. It works in batches: all its streams get their next event in the
/// same step.
struct Server
{
    std::string id;
    std::atomic<bool> isFull = false;
    /// Makes the next step come SilenceMs late.
    std::atomic<bool> isSilent = false;
    std::atomic<int> runs = 0;

    void start()
    {
        std::thread([this] {
            for (;;) {
                std::this_thread::sleep_for(Ms(EventTimeMs));
                if (isSilent.exchange(false))
                    std::this_thread::sleep_for(Ms(SilenceMs));
                const std::lock_guard lock(m_mutex);
                ++m_step;
                m_stepped.notify_all();
            }
        }).detach();
    }
    void awaitStep()
    {
        std::unique_lock lock(m_mutex);
        m_stepped.wait(lock, [this, step = m_step] { return m_step != step; });
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_stepped;
    int m_step = 0;
};

std::string state()
{
    return R"("Stage":"prefill_decode","Models":[{"Name":"m0","Version":1,"Adapters":[]}],)"
           R"("AtHand":{"InMemory":["m0"],"OnDisk":["m0"]},"born":1700000000000,)";
}

std::string entry(int port)
{
    return "{" + state() + R"("Service":"chat","Address":"127.0.0.1:)" + std::to_string(port)
            + R"(","Zone":"z1","Version":1,"Slots":64,"State":"ready","ColdLeftMs":0,)"
            + R"("Sequence":1})";
}

std::string plainAnswer(int status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Answer\r\n" + headers
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void handle(Server &server, int fd, Record &record)
{
    std::string rest;
    const auto request = readMessage(fd, rest, Clock::now() + Ms(5000), Kind::Request);
    if (!request.isWhole)
        return;
    if (request.head.starts_with("GET /-/report")) {
        sendAll(fd,
                plainAnswer(200, "Content-Type: application/json\r\n",
                            "{" + state() + R"("Busy":false,"Sequence":0,"Queued":0,"Running":4,)"
                                    + R"("KvUsed":1,"KvTotal":150000,"Handles":0})"));
        return;
    }
    if (request.head.starts_with("POST /-/order")) {
        sendAll(fd, plainAnswer(409, "", ""));
        return;
    }
    const auto id = request.header("X-Attempt-Id");
    const std::string echo = "X-Attempt-Id: " + id + "\r\n";
    if (server.isFull) {
        record.line(server.id + " is full and refuses " + id);
        sendAll(fd, plainAnswer(503, echo + "X-Not-Executed: 1\r\n", ""));
        return;
    }
    ++server.runs;
    const auto last = request.header("Last-Event-Id");
    record.line(server.id + " runs " + id + (last.empty() ? "" : " after event " + last));
    sendAll(fd,
            "HTTP/1.1 200 OK\r\n" + echo + "X-Server-Seal: seal-" + server.id
                    + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int n = std::atoi(last.c_str()) + 1; n <= Events; ++n) {
        server.awaitStep();
        const std::string event =
                "id: " + std::to_string(n) + "\ndata: part-" + std::to_string(n) + "\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", event.size());
        if (!sendAll(fd, size + event + "\r\n")) {
            record.line(server.id + ": the channel of " + id + " was closed before event "
                        + std::to_string(n));
            return;
        }
    }
    sendAll(fd, "0\r\n\r\n");
}

int run(const std::string &bin, const std::string &tmp, bool hasTrouble, Record &record)
{
    const int storePort = freePorts(1);
    const Gateway gateway { freePorts(10) };
    Process store({ bin + "/bluebell-standin", "platform", "--listen",
                    "127.0.0.1:" + std::to_string(storePort) },
                  {}, tmp + "/store.log");
    for (int n = 0; n < 100 && !putRow(storePort, "op", "config", config()); ++n)
        std::this_thread::sleep_for(Ms(50));
    // Threads use these until the process ends.
    auto *servers = new Server[2];
    for (int n = 0; n < 2; ++n) {
        auto &it = servers[n];
        it.id = "i-" + std::to_string(n + 1);
        it.start();
        const int port = freePorts(1);
        serve(port, [&it, &record](int fd) { handle(it, fd, record); });
        if (!putRow(storePort, "servers", it.id, entry(port)))
            return 2;
    }
    writeSettings(tmp + "/settings.toml", "front-z1-1", gateway, storePort);
    Process process({ bin + "/bluebell-gateway" },
                    { { "BLUEBELLWALK_CONFIG", tmp + "/settings.toml" } }, tmp + "/gateway.log");
    if (!awaitReady(gateway, Ms(10000)))
        return 2;
    std::this_thread::sleep_for(Ms(500));

    std::atomic<int> cut = 0;
    std::atomic<int> whole = 0;
    const auto begin = Clock::now();
    const auto client = [&](int n) {
        const auto id = "s" + std::to_string(n);
        const int fd = connectTo(gateway.front(), Ms(1000));
        if (fd < 0)
            return;
        const auto start = Clock::now();
        sendAll(fd,
                "POST /chat/a HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + id
                        + "\r\nX-Model: m0\r\nX-Token-Counts: 800,72\r\nX-Prompt-Prefix: a"
                        + std::to_string(n) + ":800\r\nX-Deadline-Ms: " + std::to_string(DeadlineMs)
                        + "\r\nContent-Length: 4\r\n\r\ntext");
        std::string rest;
        const auto answer = readMessage(fd, rest, start + Ms(DeadlineMs), Kind::Response);
        ::close(fd);
        const auto ms = std::chrono::duration_cast<Ms>(Clock::now() - start).count();
        const bool isWhole = answer.isWhole && answer.status() == 200;
        ++(isWhole ? whole : cut);
        const auto end = answer.body.rfind("id: ");
        record.line("client " + id + ": "
                    + (isWhole ? "whole stream"
                               : "the channel ended without a complete answer, status "
                                       + std::to_string(answer.status()) + ", last event "
                                       + (end == std::string::npos
                                                  ? "none"
                                                  : answer.body.substr(end + 4,
                                                                       answer.body.find('\n', end)
                                                                               - end - 4)))
                    + " after " + std::to_string(ms) + " ms of " + std::to_string(DeadlineMs));
    };
    std::vector<std::thread> threads;
    for (int n = 0; n < Streams; ++n) {
        threads.emplace_back(client, n);
        std::this_thread::sleep_for(Ms(10));
    }
    if (hasTrouble) {
        std::this_thread::sleep_until(begin + Ms(StopAtMs));
        record.line("SIGTERM to the gateway; other callers fill the slots and queue of i-1");
        process.signal(SIGTERM);
        servers[0].isFull = true;
        std::this_thread::sleep_until(begin + Ms(SilenceAtMs));
        record.line("the next step of i-2 comes " + std::to_string(SilenceMs) + " ms late");
        servers[1].isSilent = true;
    }
    for (auto &it : threads)
        it.join();
    record.line("runs: i-1 " + std::to_string(servers[0].runs) + ", i-2 "
                + std::to_string(servers[1].runs) + "; " + std::to_string(whole)
                + " whole streams, " + std::to_string(cut)
                + " channels ended without a complete answer");
    record.line(cut > 0 ? "LOST is broken" : "LOST holds");
    return cut > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 5)
        return 2;
    std::signal(SIGPIPE, SIG_IGN);
    // Threads use it until the process ends.
    auto &record = *new Record(argv[3]);
    const int result = run(argv[1], argv[2], std::string(argv[4]) != "0", record);
    std::_Exit(result);
}
