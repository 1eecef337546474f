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

/// A gateway process with a settings file in a temporary folder.
class Gateway
{
public:
    Gateway(const std::string &program, const std::string &folder, const Store &store, int number);
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

/// \returns the configuration with one plain service and the routes /order/ (non-idempotent),
/// /look/ (idempotent) and /open/ (idempotent, without keys)
json siteConfig(std::uint64_t version);

void sleepMs(int ms);

} // namespace review
