#include "kit.h"

#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <set>
#include <thread>

#include <sys/socket.h>
#include <unistd.h>

/// \file
/// Case: uploads of the size that the configuration allows, while two of three machines are lost.
/// Does the third one stay within its memory?

using namespace review;

namespace {

constexpr int Gateways = 3;
constexpr int ClientsPerGateway = 18;
constexpr int Clients = Gateways * ClientsPerGateway;
constexpr int Servers = 1;
constexpr int ServerSlots = 6;
constexpr int ServerQueue = 24;
constexpr std::size_t BodyBytes = 4194304;
/// All clients together send at most 1,000 Mbit/s, what the link of one machine carries.
constexpr std::size_t PieceBytes = 65536;
constexpr std::chrono::microseconds PieceTime { 65536LL * Clients * 8 / 1000 };
constexpr long MemoryLimitKb = 260L * 1024;
constexpr int WorkMs = 450;
constexpr int DeadlineMs = 6000;
constexpr int KillAtMs = 10000;
constexpr int BackAfterMs = 2000;
constexpr int RestartMs = 1000;
constexpr int EndAtMs = 17000;
/// The rule allows this many.
constexpr int AllowedLosses = 3;

std::string config()
{
    return R"({"Version":1,"Limits":{"HeaderBytes":16384,"MaxBodyBytes":4194304,)"
           R"("HeaderTimeoutMs":5000,"IdleTimeoutMs":20000},)"
           R"("Services":[{"Name":"orders","MaxConns":110}],"Routes":[{"Name":"order",)"
           R"("Host":"shop.example","Prefix":"/order/","Service":"orders",)"
           R"("Kind":"non_idempotent","TimeoutMs":6000,"LatencyGoalMs":1000,"MaxAttempts":1,)"
           R"("Priority":2,"Anonymous":true}]})";
}

std::string entry(int port)
{
    return R"({"Service":"orders","Address":"127.0.0.1:)" + std::to_string(port)
            + R"(","Zone":"z1","Version":1,"Slots":6,"State":"ready","ColdLeftMs":0,)"
            + R"("Sequence":1,"born":1700000000000})";
}

bool sendPaced(int fd, const std::string &body)
{
    auto next = Clock::now();
    for (std::size_t n = 0; n < body.size(); n += PieceBytes) {
        std::this_thread::sleep_until(next);
        next += PieceTime;
        if (!sendAll(fd, body.substr(n, PieceBytes)))
            return false;
    }
    return true;
}

/// Slots and a queue, as the pages describe servers.
class Places
{
public:
    bool enter()
    {
        if (m_inside.fetch_add(1) < ServerSlots + ServerQueue)
            return true;
        --m_inside;
        return false;
    }
    void work()
    {
        while (m_working.fetch_add(1) >= ServerSlots) {
            --m_working;
            std::this_thread::sleep_for(Ms(5));
        }
        std::this_thread::sleep_for(Ms(WorkMs));
        --m_working;
    }
    void leave() { --m_inside; }

private:
    std::atomic<int> m_inside = 0;
    std::atomic<int> m_working = 0;
};

long memoryKb(pid_t pid)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(in, line);)
        if (line.starts_with("RssAnon:"))
            return std::atol(line.c_str() + 8);
    return 0;
}

/// A gateway; restarted after a kill, as the platform does.
struct Machine
{
    Gateway gateway;
    std::unique_ptr<Process> process;
    std::atomic<bool> isUp = false;
    long peakKb = 0;
    int memoryKills = 0;
    Clock::time_point restartAt;
};

struct Counts
{
    std::atomic<int> answered = 0;
    std::atomic<int> refused = 0;
    /// Passed on by the third machine from a kept channel that then closed without an answer.
    std::atomic<int> lostKept = 0;
    std::atomic<int> lostNew = 0;
    std::atomic<int> lostAtKilled = 0;
};

int run(const std::string &bin, const std::string &tmp, bool hasTrouble, Record &record)
{
    const int storePort = freePorts(1);
    Process store({ bin + "/bluebell-standin", "platform", "--listen",
                    "127.0.0.1:" + std::to_string(storePort) },
                  {}, tmp + "/store.log");
    for (int n = 0; n < 100 && !putRow(storePort, "op", "config", config()); ++n)
        std::this_thread::sleep_for(Ms(50));

    // Threads use these until the process ends.
    auto &reachedMutex = *new std::mutex;
    auto &reached = *new std::set<std::string>;
    for (int n = 0; n < Servers; ++n) {
        const int port = freePorts(1);
        auto &places = *new Places;
        serve(port, [&](int fd) {
            std::string rest;
            const auto request =
                    readMessage(fd, rest, Clock::now() + Ms(DeadlineMs), Kind::Request);
            const auto id = request.header("X-Attempt-Id");
            const std::string echo = "X-Attempt-Id: " + id + "\r\n";
            if (!request.isWhole)
                return;
            {
                const std::lock_guard lock(reachedMutex);
                reached.insert(id);
            }
            if (!places.enter()) {
                sendAll(fd,
                        "HTTP/1.1 503 Full\r\n" + echo
                                + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            places.work();
            places.leave();
            sendAll(fd,
                    "HTTP/1.1 200 OK\r\n" + echo
                            + "X-Server-Seal: seal\r\nContent-Length: 2\r\n\r\nok");
        });
        if (!putRow(storePort, "servers", "i-" + std::to_string(n), entry(port)))
            return 2;
    }

    auto &machines = *new std::array<Machine, Gateways>;
    const auto start = [&](int n) {
        auto &it = machines[n];
        const auto settings = tmp + "/settings-" + std::to_string(n) + ".toml";
        it.process = std::make_unique<Process>(
                std::vector<std::string> { bin + "/bluebell-gateway" },
                std::map<std::string, std::string> { { "BLUEBELLWALK_CONFIG", settings } },
                tmp + "/gateway.log");
    };
    for (int n = 0; n < Gateways; ++n) {
        auto &it = machines[n];
        it.gateway.base = freePorts(10);
        writeSettings(tmp + "/settings-" + std::to_string(n) + ".toml",
                      "front-z1-" + std::to_string(n + 1), it.gateway, storePort);
        start(n);
    }
    for (auto &it : machines) {
        if (!awaitReady(it.gateway, Ms(10000)))
            return 2;
        it.isUp = true;
    }
    // The daemons hear of each other.
    std::this_thread::sleep_for(Ms(1500));

    const auto begin = Clock::now();
    const auto elapsed = [begin] {
        return std::chrono::duration_cast<Ms>(Clock::now() - begin).count();
    };
    auto &counts = *new Counts;
    std::atomic<bool> isOver = false;
    const std::string body(BodyBytes, 'b');
    const auto client = [&](int number) {
        int machine = number % Gateways;
        int fd = -1;
        int onChannel = 0;
        std::string rest;
        for (int n = 0; !isOver; ++n) {
            for (int tries = 0; fd < 0 && !isOver; ++tries) {
                machine = (number + tries) % Gateways;
                onChannel = 0;
                rest.clear();
                fd = machines[machine].isUp ? connectTo(machines[machine].gateway.front(), Ms(1000))
                                            : -1;
                if (fd < 0)
                    std::this_thread::sleep_for(Ms(20));
            }
            if (fd < 0)
                return;
            const auto id = "c" + std::to_string(number) + "n" + std::to_string(n);
            sendAll(fd,
                    "POST /order/a HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + id
                            + "\r\nX-Deadline-Ms: " + std::to_string(DeadlineMs)
                            + "\r\nContent-Length: " + std::to_string(BodyBytes) + "\r\n\r\n");
            const bool isSent = sendPaced(fd, body);
            const auto answer =
                    readMessage(fd, rest, Clock::now() + Ms(DeadlineMs), Kind::Response);
            if (answer.isWhole) {
                ++(answer.status() == 200 ? counts.answered : counts.refused);
                ++onChannel;
                if (answer.header("Connection") != "close") {
                    std::this_thread::sleep_for(Ms(20));
                    continue;
                }
            } else if (!isOver) {
                bool hasReached = false;
                {
                    const std::lock_guard lock(reachedMutex);
                    hasReached = reached.contains(id);
                }
                const bool isThird = machine == Gateways - 1;
                if (isSent && hasReached)
                    ++(!isThird                ? counts.lostAtKilled
                               : onChannel > 0 ? counts.lostKept
                                               : counts.lostNew);
                record.line("client " + std::to_string(number) + ": channel to machine "
                            + std::to_string(machine + 1) + " closed without an answer to " + id
                            + (hasReached ? ", which had reached a server" : "") + ", request "
                            + std::to_string(onChannel + 1) + " of its channel");
            }
            ::close(fd);
            fd = -1;
        }
        if (fd >= 0)
            ::close(fd);
    };
    std::vector<std::thread> threads;
    for (int n = 0; n < Clients; ++n)
        threads.emplace_back(client, n);

    bool isKilled = false;
    while (elapsed() < EndAtMs) {
        for (int n = 0; n < Gateways; ++n) {
            auto &it = machines[n];
            if (!it.isUp && it.restartAt != Clock::time_point() && Clock::now() >= it.restartAt) {
                it.restartAt = {};
                start(n);
                it.isUp = awaitReady(it.gateway, Ms(2000));
            }
            if (!it.isUp)
                continue;
            const auto kb = memoryKb(it.process->pid());
            it.peakKb = std::max(it.peakKb, kb);
            if (kb <= MemoryLimitKb)
                continue;
            // "A process that exceeds MemoryMb is killed."
            record.line("machine " + std::to_string(n + 1) + " holds " + std::to_string(kb / 1024)
                        + " MiB, over MemoryMb 260: the platform kills its process");
            it.isUp = false;
            it.process->signal(SIGKILL);
            (void)it.process->wait(Ms(2000));
            ++it.memoryKills;
            it.restartAt = Clock::now() + Ms(RestartMs);
        }
        if (hasTrouble && !isKilled && elapsed() >= KillAtMs) {
            isKilled = true;
            for (int n = 0; n < Gateways - 1; ++n) {
                machines[n].isUp = false;
                machines[n].process->signal(SIGKILL);
                (void)machines[n].process->wait(Ms(2000));
                machines[n].restartAt = Clock::now() + Ms(BackAfterMs);
            }
            record.line("two of three machines are lost");
        }
        std::this_thread::sleep_for(Ms(2));
    }
    isOver = true;
    for (int n = 0; n < Gateways; ++n)
        record.line("machine " + std::to_string(n + 1) + ": at most "
                    + std::to_string(machines[n].peakKb / 1024) + " MiB, killed for its memory "
                    + std::to_string(machines[n].memoryKills) + " times");
    record.line(std::to_string(counts.answered) + " answered with 200, "
                + std::to_string(counts.refused) + " otherwise; closed without an answer after a "
                + "server was reached: " + std::to_string(counts.lostKept)
                + " from kept channels and " + std::to_string(counts.lostNew)
                + " from new ones at machine 3, " + std::to_string(counts.lostAtKilled)
                + " at the machines that were lost");
    const bool isBroken = counts.lostKept > AllowedLosses;
    record.line(isBroken ? "LOST is broken" : "LOST holds");
    for (auto &it : machines)
        it.process.reset();
    for (auto &it : threads)
        it.join();
    return isBroken ? 1 : 0;
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
