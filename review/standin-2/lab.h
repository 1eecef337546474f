#pragma once

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <utility>
#include <vector>

/// \file
/// Stand-ins for the scripts of the second review: the platform's store, model engines, plain
/// services and clients, as the users' pages describe them, and the gateways' processes.
///
/// Every stand-in is sound: it answers at once and keeps what it has acknowledged.

namespace lab {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

/// \returns seconds since the start of the program
double now();
void pause(double seconds);

/// The file record.txt: what was sent, answered and run.
class Record
{
public:
    explicit Record(const std::string &path) : m_file(path) { }
    void line(const std::string &text);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

struct Request
{
    std::string method;
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /// \returns the first value of a header, or an empty text
    [[nodiscard]] std::string header(std::string_view name) const;
};

struct Response
{
    int status = 200;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// If set, writes the response itself.
    std::function<void(int fd)> write = {};
};

void sendAll(int fd, const std::string &bytes);

/// Serves one request on each connection, in a thread of its own.
class HttpServer
{
public:
    using Handler = std::function<Response(const Request &)>;

    explicit HttpServer(Handler handler);
    [[nodiscard]] int port() const { return m_port; }
    /// Ends all connections, as the end of the process does, and refuses new ones.
    void stop();
    /// Listens on the same port again.
    void restart();

private:
    void listen();
    void serve(int fd);

    Handler m_handler;
    int m_port = 0;
    std::mutex m_mutex;
    int m_listener = -1;
    std::set<int> m_open;
};

/// The platform's store. Rows are kept in memory; versions come from one counter.
class Store
{
public:
    Store();

    /// Opens one more address, so that calls of one machine can be told from those of others.
    int open(const std::string &machine);
    /// A write of the operator or of a server.
    void put(const std::string &table, const std::string &key, const json &value);
    void remove(const std::string &table, const std::string &key);
    /// Called for each row that a machine of the system writes.
    std::function<void(const std::string &machine, const std::string &table, const std::string &key,
                       const std::string &value)>
            onWrite;

private:
    struct Row
    {
        std::string value;
        std::uint64_t version = 0;
        bool isDeleted = false;
    };
    using Id = std::pair<std::string, std::string>;

    Response handle(const std::string &machine, const Request &request);
    Response read(const std::string &table, const std::string &from, const std::string &to);
    Response feed(const std::string &table, std::uint64_t after, int waitMs);
    Response transact(const std::string &machine, const json &body);
    json rowOf(const Id &id, const Row &row, bool withValue) const;
    void set(const Id &id, std::string value, bool isDeleted, std::uint64_t version);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<Id, Row> m_rows;
    std::uint64_t m_version = 1;
    std::vector<std::unique_ptr<HttpServer>> m_servers;
};

/// One run of a request or one order, as a server has seen it.
struct Seen
{
    double at = 0;
    std::string server;
    Request request;
};

/// A server of a service; an engine if it holds models.
class Server
{
public:
    struct Model
    {
        std::string name;
        int adapters = 0;
    };

    Server(Store &store, Record &record, std::string id, std::string service, int slots);
    /// Makes the server an engine.
    void holdModels(const std::vector<Model> &known, const std::set<std::string> &resident,
                    double loadSeconds, double diskSeconds);
    /// Puts copies of all known models on the engine's disk.
    void copyAllToDisk();
    /// Registers the server, and then each second.
    void start();

    /// The part of a prompt that crashes the server when it begins to write an answer.
    std::string deadlyPart;
    /// Whether the first event is written before the crash, or only the head of the answer.
    bool writesEventBeforeCrash = true;
    /// How long the server is away after a crash.
    double downSeconds = 3.0;
    /// Called at each crash.
    std::function<void()> onCrash;
    /// Events of a stream, and the time between them.
    int events = 2;
    double eventSeconds = 0;

    [[nodiscard]] const std::string &id() const { return m_id; }
    [[nodiscard]] std::vector<Seen> runs();
    [[nodiscard]] std::vector<Seen> orders();
    double workSeconds = 0.03;

private:
    Response handle(const Request &request);
    Response run(const Request &request);
    void stream(int fd, const Request &request);
    void crash();
    Response order(const Request &request);
    Response orderAdapter(const std::string &model, const std::string &adapter, bool isLoad);
    json state();
    void publish();

    Store &m_store;
    Record &m_record;
    std::string m_id;
    std::string m_service;
    int m_slots = 0;
    bool m_isEngine = false;
    double m_loadSeconds = 0;
    double m_diskSeconds = 0;
    std::mutex m_mutex;
    std::map<std::string, int> m_known;
    std::map<std::string, std::set<std::string>> m_resident;
    std::set<std::string> m_onDisk;
    std::map<std::string, int> m_running;
    bool m_isBusy = false;
    bool m_isDown = false;
    std::uint64_t m_born = 1700000000000;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_beats = 0;
    std::vector<Seen> m_runs;
    std::vector<Seen> m_orders;
    std::unique_ptr<HttpServer> m_http;
};

/// A process of the system, started as the deploy file says.
class Gateway
{
public:
    Gateway(const std::string &root, const std::string &folder, const std::string &name,
            const std::string &ip, int storePort, bool isFirstStart);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    [[nodiscard]] bool awaitReady(double seconds) const;
    void signal(int number) const;
    /// \returns whether the process runs
    [[nodiscard]] bool isRunning();
    /// Sends bytes on a new connection and reads until the gateway closes it or the time is over.
    /// \returns a socket on which the bytes were sent
    [[nodiscard]] int connectAndSend(const std::string &bytes) const;
    [[nodiscard]] std::string exchange(const std::string &bytes, double seconds) const;

private:
    std::string m_ip;
    int m_front = 0;
    int m_ready = 0;
    pid_t m_pid = 0;
};

/// \returns a port that is free on 127.0.0.1
int freePort();
/// \returns the status of a response, or 0
int statusOf(const std::string &response);

/// \returns a configuration with three routes and two tenants
json siteConfig(std::uint64_t version, const std::vector<Server::Model> &models);

/// \returns the bytes of a request
std::string requestText(const std::string &line, const std::string &id, const std::string &key,
                        const std::vector<std::string> &headers, const std::string &body);

} // namespace lab
