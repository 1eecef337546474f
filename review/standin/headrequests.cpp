#include "kit.h"

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <set>
#include <thread>
#include <utility>

#include <sys/socket.h>
#include <unistd.h>

/// \file
/// Case: the servers of one service crash while clients ask for it with HEAD, and order from
/// another service on the same channels. Does every byte on a channel belong to an answer?

using namespace review;

namespace {

constexpr int Clients = 4;
constexpr int LengthMs = 8000;
constexpr int CrashAtMs = 2000;
constexpr int CrashMs = 3000;
constexpr int DeadlineMs = 1500;

std::string route(const std::string &name, const std::string &service, const std::string &kind)
{
    return R"({"Name":")" + name + R"(","Host":"shop.example","Prefix":"/)" + name
            + R"(/","Service":")" + service + R"(","Kind":")" + kind
            + R"(","TimeoutMs":1500,"LatencyGoalMs":300,"MaxAttempts":2,"Priority":2,)"
            + R"("Anonymous":true})";
}

std::string config()
{
    return R"({"Version":1,"Limits":{"HeaderBytes":16384,"MaxBodyBytes":4194304,)"
           R"("HeaderTimeoutMs":5000,"IdleTimeoutMs":20000},)"
           R"("Services":[{"Name":"stock","MaxConns":110},{"Name":"orders","MaxConns":110}],)"
           R"("Routes":[)"
            + route("stock", "stock", "idempotent") + ","
            + route("order", "orders", "non_idempotent") + "]}";
}

std::string entry(const std::string &service, int port)
{
    return R"({"Service":")" + service + R"(","Address":"127.0.0.1:)" + std::to_string(port)
            + R"(","Zone":"z1","Version":1,"Slots":6,"State":"ready","ColdLeftMs":0,)"
            + R"("Sequence":1,"born":1700000000000})";
}

struct Counts
{
    std::atomic<int> heads = 0;
    std::atomic<int> refusedHeads = 0;
    std::atomic<int> orders = 0;
    std::atomic<int> strayBytes = 0;
    std::atomic<int> lostOrders = 0;
};

int run(const std::string &bin, const std::string &tmp, bool hasTrouble, Record &record)
{
    const int storePort = freePorts(1);
    const int stockPort = freePorts(1);
    const int orderPort = freePorts(1);
    const Gateway gateway { freePorts(10) };
    Process store({ bin + "/bluebell-standin", "platform", "--listen",
                    "127.0.0.1:" + std::to_string(storePort) },
                  {}, tmp + "/store.log");
    for (int n = 0; n < 100 && !putRow(storePort, "op", "config", config()); ++n)
        std::this_thread::sleep_for(Ms(50));

    // Threads use these until the process ends.
    auto &ranMutex = *new std::mutex;
    auto &ran = *new std::set<std::string>;
    const auto handle = [&](int fd) {
        std::string rest;
        const auto request = readMessage(fd, rest, Clock::now() + Ms(5000), Kind::Request);
        if (!request.isWhole)
            return;
        const auto id = request.header("X-Attempt-Id");
        const bool isHead = request.head.starts_with("HEAD ");
        record.line("server runs " + request.head.substr(0, request.head.find(' ')) + " " + id);
        {
            const std::lock_guard lock(ranMutex);
            ran.insert(id);
        }
        std::this_thread::sleep_for(Ms(30));
        // What HEAD asks for is empty, so its answer is complete for any reader.
        const std::string body = isHead ? "" : "order " + id;
        sendAll(fd,
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Server-Seal: seal-" + id
                        + "\r\nContent-Type: text/plain\r\nContent-Length: "
                        + std::to_string(body.size()) + "\r\n\r\n" + body);
    };
    int stock = serve(stockPort, handle);
    serve(orderPort, handle);
    if (!putRow(storePort, "servers", "i-1", entry("stock", stockPort))
        || !putRow(storePort, "servers", "i-2", entry("orders", orderPort)))
        return 2;
    writeSettings(tmp + "/settings.toml", "front-z1-1", gateway, storePort);
    Process process({ bin + "/bluebell-gateway" },
                    { { "BLUEBELLWALK_CONFIG", tmp + "/settings.toml" } }, tmp + "/gateway.log");
    if (!awaitReady(gateway, Ms(10000)))
        return 2;

    const auto begin = Clock::now();
    const auto elapsed = [begin] {
        return std::chrono::duration_cast<Ms>(Clock::now() - begin).count();
    };
    auto &counts = *new Counts;
    const auto client = [&](int number) {
        int fd = -1;
        std::string rest;
        const auto ask = [&](const std::string &method, const std::string &path,
                             const std::string &id) {
            const bool isHead = method == "HEAD";
            sendAll(fd,
                    method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + id
                            + "\r\nX-Deadline-Ms: " + std::to_string(DeadlineMs) + "\r\n"
                            + (isHead ? "\r\n" : "Content-Length: 5\r\n\r\n1 box"));
            return readMessage(fd, rest, Clock::now() + Ms(DeadlineMs + 500),
                               isHead ? Kind::HeadOnly : Kind::Response);
        };
        for (int n = 0; elapsed() < LengthMs; ++n) {
            if (fd < 0) {
                fd = connectTo(gateway.front(), Ms(1000));
                rest.clear();
            }
            if (fd < 0)
                return;
            const auto suffix = std::to_string(number) + "n" + std::to_string(n);
            const auto head = ask("HEAD", "/stock/open", "h" + suffix);
            ++counts.heads;
            counts.refusedHeads += head.status() == 200 ? 0 : 1;
            record.line("client " + std::to_string(number) + ": HEAD h" + suffix + " -> status "
                        + std::to_string(head.status()));
            if (head.status() == 0 || head.header("Connection") == "close") {
                ::close(fd);
                fd = -1;
                continue;
            }
            const auto id = "o" + suffix;
            const auto answer = ask("POST", "/order/a", id);
            ++counts.orders;
            const bool isAnswer = answer.head.starts_with("HTTP/1.1 ") && answer.isWhole;
            if (!isAnswer || (answer.status() == 200 && answer.body != "order " + id)) {
                ++counts.strayBytes;
                std::this_thread::sleep_for(Ms(100));
                const std::lock_guard lock(ranMutex);
                counts.lostOrders += ran.contains(id) ? 1 : 0;
                record.line("client " + std::to_string(number) + ": POST " + id
                            + " -> no answer in the protocol, the channel continues with: "
                            + answer.head.substr(0, 60)
                            + (ran.contains(id) ? " (the server has run it)" : ""));
            }
            if (!isAnswer) {
                ::close(fd);
                fd = -1;
            }
            std::this_thread::sleep_for(Ms(100));
        }
        if (fd >= 0)
            ::close(fd);
    };
    std::vector<std::thread> threads;
    for (int n = 0; n < Clients; ++n)
        threads.emplace_back(client, n);
    if (hasTrouble) {
        std::this_thread::sleep_until(begin + Ms(CrashAtMs));
        stopServing(stock);
        record.line("the server of `stock` is down");
        std::this_thread::sleep_until(begin + Ms(CrashAtMs + CrashMs));
        stock = serve(stockPort, handle);
        record.line("the server of `stock` is back");
    }
    for (auto &it : threads)
        it.join();
    record.line(std::to_string(counts.heads) + " HEAD requests, "
                + std::to_string(counts.refusedHeads) + " of them not answered with 200; "
                + std::to_string(counts.orders) + " orders on the same channels, "
                + std::to_string(counts.strayBytes) + " of them met bytes that are no answer, "
                + std::to_string(counts.lostOrders) + " of these had run");
    const bool isBroken = counts.strayBytes > 0;
    record.line(isBroken ? "MIXED is broken" : "MIXED holds");
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
