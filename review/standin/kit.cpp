#include "kit.h"

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstdlib>
#include <fstream>
#include <thread>

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {
namespace {

sockaddr_in loopback(int port)
{
    sockaddr_in it {};
    it.sin_family = AF_INET;
    it.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    it.sin_port = htons(static_cast<std::uint16_t>(port));
    return it;
}

int msLeft(Clock::time_point end)
{
    const auto left = std::chrono::duration_cast<Ms>(end - Clock::now()).count();
    return static_cast<int>(std::max<long>(left, 0));
}

bool isPortFree(int port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    const auto address = loopback(port);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const bool isFree =
            ::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
    ::close(fd);
    return isFree;
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

/// Appends what arrives until `end`.
///
/// \returns false at the end of the connection or of the time
bool receive(int fd, std::string &to, Clock::time_point end, bool &isClosed)
{
    pollfd it { fd, POLLIN, 0 };
    if (::poll(&it, 1, msLeft(end)) <= 0)
        return false;
    char buf[16384];
    const auto n = ::recv(fd, buf, sizeof buf, 0);
    if (n <= 0) {
        isClosed = true;
        return false;
    }
    to.append(buf, static_cast<std::size_t>(n));
    return true;
}

bool readChunks(int fd, std::string &rest, Clock::time_point end, Message &message)
{
    for (;;) {
        auto line = rest.find("\r\n");
        while (line == std::string::npos) {
            if (!receive(fd, rest, end, message.isClosed))
                return false;
            line = rest.find("\r\n");
        }
        const auto size = std::strtoul(rest.c_str(), nullptr, 16);
        while (rest.size() < line + 2 + size + 2)
            if (!receive(fd, rest, end, message.isClosed))
                return false;
        message.body += rest.substr(line + 2, size);
        rest.erase(0, line + 2 + size + 2);
        if (size == 0)
            return true;
    }
}

} // namespace

Record::Record(const std::string &path) : m_file(std::fopen(path.c_str(), "w")) { }

Record::~Record()
{
    if (m_file)
        std::fclose(m_file);
}

long Record::ms() const
{
    return std::chrono::duration_cast<Ms>(Clock::now() - m_start).count();
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    if (!m_file)
        return;
    std::fprintf(m_file, "%8ld ms  %s\n", ms(), text.c_str());
    std::fflush(m_file);
}

Process::Process(const std::vector<std::string> &command,
                 const std::map<std::string, std::string> &env, const std::string &log)
{
    m_pid = ::fork();
    if (m_pid != 0)
        return;
    const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(fd, STDOUT_FILENO);
    ::dup2(fd, STDERR_FILENO);
    for (int n = 3; n < 256; ++n)
        ::close(n);
    for (const auto &[name, value] : env)
        ::setenv(name.c_str(), value.c_str(), 1);
    std::vector<char *> arguments;
    for (const auto &it : command)
        arguments.push_back(const_cast<char *>(it.c_str()));
    arguments.push_back(nullptr);
    ::execv(arguments[0], arguments.data());
    ::_exit(127);
}

Process::~Process()
{
    if (isRunning()) {
        signal(SIGKILL);
        (void)wait(Ms(5000));
    }
}

void Process::signal(int number) const
{
    if (m_pid > 0 && !m_status)
        ::kill(m_pid, number);
}

bool Process::isRunning()
{
    int status = 0;
    if (!m_status && m_pid > 0 && ::waitpid(m_pid, &status, WNOHANG) == m_pid)
        m_status = status;
    return m_pid > 0 && !m_status;
}

std::optional<int> Process::wait(Ms limit)
{
    const auto end = Clock::now() + limit;
    while (isRunning() && Clock::now() < end)
        std::this_thread::sleep_for(Ms(5));
    return m_status;
}

int freePorts(int count)
{
    // Below the range from which the system takes ports for outgoing connections.
    static int next = 20000 + static_cast<int>(::getpid() % 400) * 20;
    for (;; next = next > 29000 ? 20000 : next + 1) {
        bool isFree = true;
        for (int n = 0; n < count && isFree; ++n)
            isFree = isPortFree(next + n);
        if (!isFree)
            continue;
        const int port = next;
        next += count;
        return port;
    }
}

int connectTo(int port, Ms limit)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = loopback(port);
    ::fcntl(fd, F_SETFL, O_NONBLOCK);
    int error = ::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    if (error != 0) {
        pollfd it { fd, POLLOUT, 0 };
        socklen_t size = sizeof error;
        if (::poll(&it, 1, static_cast<int>(limit.count())) <= 0
            || ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0)
            error = 1;
    }
    if (error != 0) {
        ::close(fd);
        return -1;
    }
    ::fcntl(fd, F_SETFL, 0);
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

bool sendAll(int fd, const std::string &bytes)
{
    for (std::size_t sent = 0; sent < bytes.size();) {
        const auto n = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

int Message::status() const
{
    return head.size() < 12 ? 0 : std::atoi(head.c_str() + 9);
}

std::string Message::header(const std::string &name) const
{
    const auto all = lower(head);
    const auto start = all.find("\r\n" + lower(name) + ":");
    if (start == std::string::npos)
        return {};
    auto from = start + name.size() + 3;
    while (from < head.size() && head[from] == ' ')
        ++from;
    return head.substr(from, head.find("\r\n", from) - from);
}

Message readMessage(int fd, std::string &rest, Clock::time_point end, Kind kind)
{
    Message message;
    auto size = rest.find("\r\n\r\n");
    while (size == std::string::npos) {
        if (!receive(fd, rest, end, message.isClosed))
            return message;
        size = rest.find("\r\n\r\n");
    }
    message.head = rest.substr(0, size + 2);
    rest.erase(0, size + 4);
    const auto length = message.header("Content-Length");
    if (kind == Kind::HeadOnly) {
        message.isWhole = true;
    } else if (lower(message.header("Transfer-Encoding")) == "chunked") {
        message.isWhole = readChunks(fd, rest, end, message);
    } else if (!length.empty() || kind == Kind::Request) {
        const auto n = std::strtoul(length.c_str(), nullptr, 10);
        while (rest.size() < n && receive(fd, rest, end, message.isClosed)) { }
        message.isWhole = rest.size() >= n;
        message.body = rest.substr(0, n);
        rest.erase(0, n);
    } else {
        while (receive(fd, message.body, end, message.isClosed)) { }
        message.isWhole = message.isClosed;
    }
    return message;
}

Message call(int port, const std::string &method, const std::string &path, const std::string &body,
             Ms limit)
{
    const auto end = Clock::now() + limit;
    const int fd = connectTo(port, limit);
    if (fd < 0)
        return {};
    sendAll(fd,
            method + " " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n"
                    + "Content-Type: application/json\r\nContent-Length: "
                    + std::to_string(body.size()) + "\r\n\r\n" + body);
    std::string rest;
    auto message = readMessage(fd, rest, end, Kind::Response);
    ::close(fd);
    return message;
}

std::string base64(const std::string &bytes)
{
    static const char Digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t n = 0; n < bytes.size(); n += 3) {
        unsigned block = 0;
        for (std::size_t i = 0; i < 3; ++i)
            block = block << 8U
                    | (n + i < bytes.size() ? static_cast<unsigned char>(bytes[n + i]) : 0U);
        for (std::size_t i = 0; i < 4; ++i)
            text += n + i > bytes.size() ? '=' : Digits[block >> (18 - 6 * i) & 63U];
    }
    return text;
}

bool putRow(int storePort, const std::string &table, const std::string &key,
            const std::string &value)
{
    const auto body = R"({"Expected":[],"Remove":[],"SetKeys":[{"Table":")" + table
            + R"(","part":"","Key":")" + key + R"(","Value":")" + base64(value) + "\"}]}";
    return call(storePort, "POST", "/-/rows-tx", body, Ms(2000)).status() == 200;
}

int serve(int port, std::function<void(int fd)> handle)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = loopback(port);
    const int on = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (::bind(listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || ::listen(listener, 256) != 0) {
        std::fprintf(stderr, "cannot listen on port %d\n", port);
        std::exit(2);
    }
    std::thread([listener, handle = std::move(handle)] {
        for (;;) {
            const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0 && (errno == EINVAL || errno == EBADF))
                return;
            if (fd < 0)
                continue;
            const int noDelay = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof noDelay);
            std::thread([fd, handle] {
                handle(fd);
                ::close(fd);
            }).detach();
        }
    }).detach();
    return listener;
}

void stopServing(int listener)
{
    ::shutdown(listener, SHUT_RDWR);
    ::close(listener);
}

void writeSettings(const std::string &path, const std::string &name, const Gateway &gateway,
                   int storePort)
{
    const auto address = [&](int n) {
        return "\"127.0.0.1:" + std::to_string(gateway.base + n) + "\"\n";
    };
    std::ofstream out(path);
    out << "NodeName = \"" << name << "\"\nRole = \"gateway\"\nMachineClass = \"front\"\n"
        << "Serves = [\"front\",\"directory\"]\nIp = \"127.0.0.1\"\nZone = \"z1\"\n"
        << "Region = \"r1\"\nInnerPortRange = [" << gateway.base + 4 << "," << gateway.base + 9
        << "]\nSeeds = []\nFirstStart = false\nDiscovery = \"platform\"\nEntry = \"directory\"\n"
        << "BeatIntervalMs = 1200\n[Listen]\nFront = " << address(0) << "Ready = " << address(1)
        << "Directory = " << address(2) << "[Limits]\nCpuShare = 0.25\nCores = 1\n"
        << "MemoryMb = 260\nMaxFds = 4100\nLinkMbps = 1000.0\nDiskMb = 0\n"
        << "[Bounds]\nStableWindowMs = 3000\nDrainMs = 2000\nGraceS = 8\nLossSlackMs = 200\n"
        << "ConfigMs = 2000\nLeaseMs = 3000\nThawMs = 300\nRecoverS = 12\nttl_max_s = 5\n"
        << "[Platform]\nAddress = \"127.0.0.1:" << storePort << "\"\nform = \"table\"\n"
        << "WritesPerS = 400\nReadsPerS = 2000\n";
}

bool awaitReady(const Gateway &gateway, Ms limit)
{
    const auto end = Clock::now() + limit;
    while (Clock::now() < end) {
        if (call(gateway.ready(), "GET", "/-/ready", "", Ms(500)).status() == 200)
            return true;
        std::this_thread::sleep_for(Ms(50));
    }
    return false;
}

} // namespace review
