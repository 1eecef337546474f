#include "freeports.h"
#include "platformstandin.h"
#include "soakcaller.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

/// Guards against callers that ignore the limits of the configuration and so end the process by its
/// memory or descriptors. A real gateway process runs with low limits; the checks do not depend on
/// the speed of the machine.

namespace asio = boost::asio;

using namespace bluebell;
using namespace bluebell::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t MegaByte = 1U << 20U;
/// In the settings of the process.
constexpr std::size_t MemoryMb = 96;
constexpr std::size_t MaxDescriptors = 600;
/// In the configuration, see siteConfig().
constexpr std::size_t MaxBodyBytes = MegaByte;
/// Bound on the peak resident memory over that of the idle process, which holds in a build with
/// sanitisers too.
constexpr std::size_t MaxGrowth = 64 * MegaByte;
/// Descriptors that are kept for other uses than sockets.
constexpr std::size_t FileDescriptors = 200;
/// Ports that the settings of the process name or derive.
constexpr int PortsPerGateway = 10;

/// What every client of a crowd sends.
struct Flood
{
    std::string head;
    /// Is sent again and again, after the head.
    std::string filler;
    /// Bytes of the filler after which the client stops and keeps its connection open.
    std::size_t bytes = 0;
};

/// A client that sends its flood as fast as the connection takes it, and reads nothing.
class FloodClient
{
public:
    FloodClient(std::uint16_t port, const Flood &flood)
        : m_flood(flood), m_fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        (void)::connect(m_fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
    }
    ~FloodClient() { ::close(m_fd); }
    FloodClient(const FloodClient &) = delete;
    FloodClient &operator=(const FloodClient &) = delete;

    [[nodiscard]] int descriptor() const noexcept { return m_fd; }
    /// \returns whether more is to be sent over an open connection
    [[nodiscard]] bool isSending() const noexcept { return !m_isClosed && m_sent < size(); }

    /// Sends what the connection takes.
    ///
    /// \returns whether some bytes were sent
    bool send()
    {
        constexpr std::size_t MaxRounds = 16;
        bool hasSent = false;
        for (std::size_t n = 0; n < MaxRounds && isSending(); ++n) {
            const auto part = next();
            const auto sent = ::send(m_fd, part.data(), part.size(), MSG_NOSIGNAL);
            if (sent < 0) {
                m_isClosed = errno != EAGAIN && errno != ENOTCONN;
                return hasSent;
            }
            m_sent += static_cast<std::size_t>(sent);
            hasSent = true;
        }
        return hasSent;
    }

private:
    [[nodiscard]] std::size_t size() const { return m_flood.head.size() + m_flood.bytes; }
    [[nodiscard]] std::string_view next() const
    {
        if (m_sent < m_flood.head.size())
            return std::string_view(m_flood.head).substr(m_sent);
        const auto offset = (m_sent - m_flood.head.size()) % m_flood.filler.size();
        return std::string_view(m_flood.filler).substr(offset, size() - m_sent);
    }

    const Flood &m_flood;
    int m_fd;
    std::size_t m_sent = 0;
    bool m_isClosed = false;
};

std::string repeated(std::string_view text, std::size_t bytes)
{
    std::string it;
    while (it.size() < bytes)
        it += text;
    return it;
}

std::string requestHead(const std::string &framing)
{
    return "POST /open/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: flood\r\n" + framing
            + "\r\n\r\n";
}

std::string chunkOf(std::size_t size)
{
    char digits[32];
    std::snprintf(digits, sizeof(digits), "%zx\r\n", size);
    return digits + std::string(size, 'x') + "\r\n";
}

const std::string Chunked = "Transfer-Encoding: chunked";

/// One gateway process with a store and a target, which run on a thread of the test.
class UntrustedClients : public ::testing::Test
{
protected:
    UntrustedClients()
        : store(context, { .readsPerSecond = 10000, .writesPerSecond = 2000 }),
          target(context, store, "p1", "plain")
    {
        const auto storeAddress = store.listen({ "127.0.0.1", 0 }).value();
        target.listen();
        target.publishEntry();
        store.put("op", "config", siteConfig(1).dump());
        auto pathTemplate =
                (std::filesystem::temp_directory_path() / "bluebell-untrusted-XXXXXX").string();
        directory = ::mkdtemp(pathTemplate.data());
        port = freePorts(PortsPerGateway);
        writeSettings(storeAddress);
        start();
        world = std::thread([this] { context.run(); });
    }

    ~UntrustedClients() override
    {
        clients.clear();
        if (isAlive()) {
            ::kill(pid, SIGKILL);
            ::waitpid(pid, nullptr, 0);
        }
        context.stop();
        world.join();
        if (HasFailure())
            std::cout << std::ifstream(directory / "gateway.log").rdbuf();
        std::filesystem::remove_all(directory);
    }

    void SetUp() override
    {
        ASSERT_EQ(awaitStatus("/open/ready", 20s), 200U);
        idleBytes = memoryField("VmRSS:");
    }

    void writeSettings(const Endpoint &storeAddress) const
    {
        const auto address = [&](int offset) {
            return "\"127.0.0.1:" + std::to_string(port + offset) + "\"\n";
        };
        std::ofstream(directory / "settings.toml")
                << "NodeName = \"front-0\"\nZone = \"leicester\"\nIp = \"127.0.0.1\"\n"
                << "FirstStart = false\nInnerPortRange = [" << port + 4 << ", " << port + 9
                << "]\n[Listen]\nFront = " << address(0) << "Ready = " << address(1)
                << "Directory = " << address(2) << "Control = " << address(3)
                << "[Limits]\nCpuShare = 0.25\nCores = 1\nMemoryMb = " << MemoryMb
                << "\nMaxFds = " << MaxDescriptors << "\n[Platform]\nAddress = \""
                << toString(storeAddress) << "\"\n";
    }

    void start()
    {
        const std::string program = BLUEBELL_BIN_DIR "/bluebell-gateway";
        const auto settings = (directory / "settings.toml").string();
        const auto log = (directory / "gateway.log").string();
        const auto parent = ::getpid();
        pid = ::fork();
        if (pid != 0)
            return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent)
            ::_exit(1);
        // Otherwise the sanitiser keeps up to 256 MiB of freed memory.
        ::setenv("ASAN_OPTIONS",
                 "quarantine_size_mb=1:thread_local_quarantine_size_kb=16:"
                 "allocator_release_to_os_interval_ms=100",
                 1);
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(output, 1);
        ::dup2(output, 2);
        ::execl(program.c_str(), program.c_str(), "--settings", settings.c_str(), nullptr);
        ::_exit(127);
    }

    bool isAlive()
    {
        if (pid > 0 && ::waitpid(pid, nullptr, WNOHANG) == pid)
            pid = 0;
        return pid > 0;
    }

    /// \returns bytes from a line of /proc/PID/status, 0 if there is none
    [[nodiscard]] std::size_t memoryField(const std::string &name) const
    {
        std::ifstream status("/proc/" + std::to_string(pid) + "/status");
        for (std::string line; std::getline(status, line);)
            if (line.starts_with(name))
                return std::stoull(line.substr(name.size())) * 1024;
        return 0;
    }

    [[nodiscard]] std::size_t openDescriptors() const
    {
        std::error_code ec;
        const std::filesystem::directory_iterator files("/proc/" + std::to_string(pid) + "/fd", ec);
        return static_cast<std::size_t>(std::distance(begin(files), end(files)));
    }

    /// Sends ordinary requests until one is answered with 200, or the time is over.
    ///
    /// \returns the status of the last response, 0 if there was none
    [[nodiscard]] unsigned awaitStatus(const std::string &path, Duration limit) const
    {
        unsigned status = 0;
        for (const auto end = BootClock::now() + limit; status != 200 && BootClock::now() < end;) {
            SoakConnection connection;
            if (connection.open(port)) {
                const HttpRequest request { "POST",
                                            path,
                                            { { "Host", "shop.example" },
                                              { "X-Attempt-Id", "ordinary" } },
                                            "an ordinary body" };
                const auto it = connection.exchange(request, {}, BootClock::now() + 5s);
                status = it.isComplete ? it.response.status : 0;
            }
            std::this_thread::sleep_for(50ms);
        }
        return status;
    }

    /// Runs `count` clients until each has sent its flood or is closed, or none of them gets a byte
    /// through any more. They stay open.
    void runCrowd(std::size_t count, const Flood &flood)
    {
        for (std::size_t n = 0; n < count; ++n)
            clients.push_back(std::make_unique<FloodClient>(port, flood));
        constexpr Duration MaxSilence = 3s;
        constexpr Duration MaxLength = 15s;
        const auto startedAt = BootClock::now();
        for (auto progressAt = startedAt; isAlive();) {
            const auto now = BootClock::now();
            if (now - progressAt > MaxSilence || now - startedAt > MaxLength)
                break;
            std::vector<pollfd> waiting;
            for (const auto &it : clients)
                if (it->isSending())
                    waiting.push_back({ it->descriptor(), POLLOUT, 0 });
            if (waiting.empty())
                break;
            ::poll(waiting.data(), waiting.size(), 50);
            for (const auto &it : clients)
                if (it->send())
                    progressAt = BootClock::now();
            peakDescriptors = std::max(peakDescriptors, openDescriptors());
        }
    }

    void expectSoundProcess()
    {
        ASSERT_TRUE(isAlive());
        EXPECT_EQ(awaitStatus("/open/after", 30s), 200U);
        ASSERT_TRUE(isAlive());
        const auto peak = memoryField("VmHWM:");
        std::cout << "idle " << idleBytes / MegaByte << " MiB, peak " << peak / MegaByte
                  << " MiB, descriptors " << peakDescriptors << std::endl;
        EXPECT_LE(peak - std::min(peak, idleBytes), MaxGrowth);
        EXPECT_LE(peakDescriptors, MaxDescriptors - FileDescriptors);
    }

    void expectSurvival(std::size_t count, const Flood &flood)
    {
        runCrowd(count, flood);
        expectSoundProcess();
    }

    asio::io_context context;
    standin::PlatformServer store;
    TargetStandIn target;
    std::filesystem::path directory;
    std::uint16_t port = 0;
    pid_t pid = 0;
    std::thread world;
    std::size_t idleBytes = 0;
    std::size_t peakDescriptors = 0;
    std::vector<std::unique_ptr<FloodClient>> clients;
};

/// More than the connections that the process accepts with these descriptors.
constexpr std::size_t Crowd = 200;

} // namespace

TEST_F(UntrustedClients, TrailersWithoutEndAreBounded)
{
    expectSurvival(4,
                   { requestHead(Chunked) + "1\r\nx\r\n0\r\n",
                     repeated("X-Filler: 1234567890\r\n", 64U << 10U), 64 * MegaByte });
}

TEST_F(UntrustedClients, ATrailerLineWithoutEndIsBounded)
{
    expectSurvival(4,
                   { requestHead(Chunked) + "1\r\nx\r\n0\r\nX-Filler: ",
                     std::string(64U << 10U, 'x'), 64 * MegaByte });
}

TEST_F(UntrustedClients, AChunkExtensionWithoutEndIsBounded)
{
    expectSurvival(4,
                   { requestHead(Chunked) + "1;x=", std::string(64U << 10U, 'x'), 64 * MegaByte });
}

TEST_F(UntrustedClients, AnnouncedBodiesOverTheLimitAreNotHeld)
{
    expectSurvival(Crowd,
                   { requestHead("Content-Length: 1000000000"), std::string(64U << 10U, 'x'),
                     8 * MegaByte });
}

TEST_F(UntrustedClients, SentBodiesOverTheLimitAreNotHeld)
{
    expectSurvival(Crowd, { requestHead(Chunked), chunkOf(64U << 10U), 8 * MegaByte });
}

TEST_F(UntrustedClients, ManyBodiesInLargeChunksStopJustShortOfTheirEnd)
{
    constexpr std::size_t ChunkBytes = 64U << 10U;
    const auto chunk = chunkOf(ChunkBytes);
    expectSurvival(Crowd,
                   { requestHead(Chunked), chunk, chunk.size() * (MaxBodyBytes / ChunkBytes) - 1 });
}

TEST_F(UntrustedClients, ManyBodiesInOneByteChunksStopJustShortOfTheirEnd)
{
    constexpr std::size_t BodyBytes = 512U << 10U;
    const auto chunk = chunkOf(1);
    expectSurvival(Crowd,
                   { requestHead(Chunked), repeated(chunk, chunk.size() * 8192),
                     chunk.size() * BodyBytes - 1 });
}

TEST_F(UntrustedClients, ManyAnnouncedBodiesStopJustShortOfTheirEnd)
{
    expectSurvival(Crowd,
                   { requestHead("Content-Length: " + std::to_string(MaxBodyBytes)),
                     std::string(64U << 10U, 'x'), MaxBodyBytes - 1 });
}
