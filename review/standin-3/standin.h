#pragma once

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

/// \file
/// Stand-ins of the platform for the scripts of the third review: the store, plain servers, raw
/// clients, and gateways as processes. All addresses are on the loopback interface.

namespace review {

using Clock = std::chrono::steady_clock;
using nlohmann::json;

/// Lines of record.txt, with the time since the start of the case.
class Record
{
public:
    explicit Record(const std::string &path);
    void line(const std::string &text);
    [[nodiscard]] double now() const;

private:
    std::mutex m_mutex;
    std::string m_path;
    Clock::time_point m_start = Clock::now();
};

struct Request
{
    std::string method;
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    [[nodiscard]] std::string header(std::string_view name) const;
};

/// A connection; reads HTTP/1.1 messages.
class Channel
{
public:
    explicit Channel(int fd) : m_fd(fd) { }
    ~Channel();
    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;

    [[nodiscard]] bool send(std::string_view bytes) const;
    /// \returns whether a whole request was read
    [[nodiscard]] bool read(Request &request);
    /// Reads a response with a length or in chunks, or up to the end of the connection.
    ///
    /// \returns the status; 0 if there was none
    [[nodiscard]] int readResponse(std::string &head, std::string &body, double seconds);
    /// \returns whether the other side has closed the connection
    [[nodiscard]] bool isClosed() const;
    /// \returns whether the other side has reset the connection
    [[nodiscard]] bool isReset() const;
    void close();
    /// Closes the connection with a reset.
    void reset();

private:
    [[nodiscard]] bool fill();
    [[nodiscard]] bool readHead(std::string &head);
    [[nodiscard]] bool readChunks(std::string &body);

    int m_fd;
    std::string m_buffer;
};

/// \returns a connection to the port of 127.0.0.1, or null
std::unique_ptr<Channel> connectTo(int port);

/// Serves each connection by a thread of its own.
class Server
{
public:
    using Handler = std::function<void(const Request &, Channel &)>;

    explicit Server(Handler handler);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;
    [[nodiscard]] int port() const { return m_port; }

private:
    void accept();

    Handler m_handler;
    int m_fd = -1;
    int m_port = 0;
    std::thread m_thread;
};

std::string response(int status, const std::string &headers, const std::string &body);

/// The platform's store: rows, transactions and feeds.
class Store
{
public:
    Store();
    [[nodiscard]] int port() const { return m_server->port(); }
    /// Writes a row as the operator or a server does; returns at the acknowledgement.
    void put(const std::string &table, const std::string &key, const std::string &value);
    void remove(const std::string &table, const std::string &key);

private:
    struct Row
    {
        std::string value;
        std::uint64_t version = 0;
        bool isDeleted = false;
    };

    void handle(const Request &request, Channel &channel);
    std::string transact(const Request &request, int &status);
    [[nodiscard]] json rowOf(const std::string &table, const std::string &key,
                             const Row &row) const;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, Row>> m_tables;
    std::uint64_t m_version = 1;
    std::unique_ptr<Server> m_server;
};

/// What a server has seen of one request.
struct Run
{
    std::string attempt;
    std::string path;
    std::string tenant;
    std::size_t bodySize = 0;
    double startedAt = 0;
    double endedAt = 0;
};

/// A plain server that registers itself in the store.
class PlainServer
{
public:
    using Work = std::function<void(const Request &, Channel &)>;

    PlainServer(Store &store, Record &record, std::string id, std::string service);
    ~PlainServer();
    PlainServer(const PlainServer &) = delete;
    PlainServer &operator=(const PlainServer &) = delete;
    /// Responds in place of the standard work; the run is noted before it.
    Work work;
    /// Time that a request takes.
    std::atomic<int> workMs = 20;
    [[nodiscard]] std::vector<Run> runs() const;
    /// \returns the headers that mark a response to the request as this server's own
    [[nodiscard]] std::string headOf(const Request &request) const;
    [[nodiscard]] const std::string &id() const { return m_id; }

private:
    void handle(const Request &request, Channel &channel);
    void beat();

    Store &m_store;
    Record &m_record;
    std::string m_id;
    std::string m_service;
    std::uint64_t m_born;
    mutable std::mutex m_mutex;
    std::vector<Run> m_runs;
    std::atomic<bool> m_isEnding = false;
    std::unique_ptr<Server> m_server;
    std::thread m_beats;
};

/// A connection between two programs that can be cut, as by a partition: bytes and new channels
/// wait.
class Link
{
public:
    explicit Link(int port);
    [[nodiscard]] int port() const { return m_port; }
    void cut() { m_isCut = true; }
    void heal() { m_isCut = false; }

private:
    void accept();
    void pass(int from, int to) const;

    int m_target;
    int m_fd = -1;
    int m_port = 0;
    std::atomic<bool> m_isCut = false;
};

/// An order as it has arrived at an engine.
struct Order
{
    double at = 0;
    std::string holder;
    std::uint64_t fence = 0;
    std::string text;
};

/// A model server that holds one model at a time and registers itself in the store.
class Engine
{
public:
    Engine(Store &store, Record &record, std::string id);
    /// Called with each order before it arrives; returns the time for which the network holds it.
    std::function<double(const std::string &holder)> delay;
    [[nodiscard]] std::vector<Order> orders() const;
    /// Makes the engine stand still when the next order comes, as a process does that is paused: it
    /// sends nothing, and sees what has come meanwhile when it goes on.
    void fallSilentAtNextOrder(double seconds) { m_nextSilence = seconds; }

private:
    void handle(const Request &request, Channel &channel);
    void handleOrder(const Request &request, Channel &channel);
    void finishOrder();
    [[nodiscard]] json state() const;
    void beat();

    Store &m_store;
    Record &m_record;
    std::string m_id;
    std::uint64_t m_born;
    std::atomic<double> m_nextSilence = 0;
    std::atomic<double> m_silentUntil = 0;
    mutable std::mutex m_mutex;
    std::set<std::string> m_models { "m0" };
    std::string m_pendingModel;
    bool m_isPendingLoad = false;
    double m_pendingUntil = 0;
    std::uint64_t m_sequence = 0;
    std::vector<Order> m_orders;
    std::unique_ptr<Server> m_server;
    std::thread m_beats;
};

/// A gateway process with a settings file in a temporary folder.
class Gateway
{
public:
    /// \param name the machine's name
    Gateway(std::string program, const std::string &folder, int storePort, const std::string &name,
            bool isFirstStart = true);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;
    void start();
    void signal(int number) const;
    [[nodiscard]] int callers() const { return m_base; }
    /// \returns whether the process is ready within the time
    [[nodiscard]] bool awaitReady(double seconds) const;
    [[nodiscard]] bool isRunning() const;

private:
    std::string m_program;
    std::string m_settings;
    std::string m_log;
    int m_base = 0;
    int m_pid = -1;
};

/// \returns the configuration with one plain service and the routes /order/ (non-idempotent) and
/// /look/ (idempotent)
json siteConfig(std::uint64_t version);
/// \returns the same with a service of engines and the route /chat/ (a stream)
json engineConfig(std::uint64_t version);

void sleepMs(int ms);

} // namespace review
