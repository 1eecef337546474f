#pragma once

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

/// \file
/// What the scripted cases of the review share: processes, the platform's store, HTTP by hand and
/// the record of a run. All addresses are loopback addresses.

namespace review {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

/// Writes record.txt; used by several threads.
class Record
{
public:
    explicit Record(const std::string &path);
    ~Record();
    Record(const Record &) = delete;
    Record &operator=(const Record &) = delete;
    void line(const std::string &text);
    /// \returns milliseconds since the start of the record
    [[nodiscard]] long ms() const;

private:
    std::mutex m_mutex;
    std::FILE *m_file;
    Clock::time_point m_start = Clock::now();
};

/// A process that the case has started; it is killed at the end.
class Process
{
public:
    Process(const std::vector<std::string> &command, const std::map<std::string, std::string> &env,
            const std::string &log);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;
    [[nodiscard]] pid_t pid() const noexcept { return m_pid; }
    void signal(int number) const;
    /// \returns whether the process has not ended
    [[nodiscard]] bool isRunning();
    /// Waits for the end.
    ///
    /// \returns the status of waitpid, or nothing if the process still runs after `limit`
    std::optional<int> wait(Ms limit);

private:
    pid_t m_pid = -1;
    std::optional<int> m_status;
};

/// \returns a port that is free, and so are the `count` - 1 after it
int freePorts(int count);

/// \returns a connected socket or -1
int connectTo(int port, Ms limit);
bool sendAll(int fd, const std::string &bytes);

struct Message
{
    std::string head;
    std::string body;
    /// Whether all of it has arrived, as its framing says.
    bool isWhole = false;
    /// Whether the other side has closed or reset the connection.
    bool isClosed = false;

    [[nodiscard]] int status() const;
    [[nodiscard]] std::string header(const std::string &name) const;
};

/// What a message may contain after its head.
enum class Kind : std::uint8_t {
    Request,
    Response,
    /// A response to HEAD, which has no body whatever its head says.
    HeadOnly,
};

/// Reads one request or response; `rest` keeps bytes that follow it.
Message readMessage(int fd, std::string &rest, Clock::time_point end, Kind kind);

/// Sends one request on a connection of its own.
Message call(int port, const std::string &method, const std::string &path, const std::string &body,
             Ms limit);

std::string base64(const std::string &bytes);

/// Writes a row of the platform's store.
///
/// \returns whether the store has acknowledged it
bool putRow(int storePort, const std::string &table, const std::string &key,
            const std::string &value);

/// A server; runs `handle` in a thread for each connection.
///
/// \returns its listening socket
int serve(int port, std::function<void(int fd)> handle);
/// Ends a server: its port refuses connections from now on.
void stopServing(int listener);

struct Gateway
{
    int base = 0;
    [[nodiscard]] int front() const { return base; }
    [[nodiscard]] int ready() const { return base + 1; }
};

/// Writes the settings of a gateway, like those of a small deployment.
void writeSettings(const std::string &path, const std::string &name, const Gateway &gateway,
                   int storePort);

/// \returns whether the gateway says within `limit` that it is ready
bool awaitReady(const Gateway &gateway, Ms limit);

} // namespace review
