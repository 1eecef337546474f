#include "gatewaysoak.h"

#include "core/time.h"
#include "freeports.h"
#include "platformstandin.h"
#include "soakcaller.h"
#include "soakchecks.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <thread>

namespace asio = boost::asio;

namespace bluebell::testing {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr int Callers = 16;
/// Ports that the settings of a gateway name or derive.
constexpr int PortsPerGateway = 10;

struct Rng
{
    explicit Rng(std::uint64_t seed) : engine(seed) { }

    int number(int from, int to) { return std::uniform_int_distribution<int>(from, to)(engine); }
    Duration time(std::chrono::milliseconds from, std::chrono::milliseconds to)
    {
        return std::chrono::milliseconds(
                number(static_cast<int>(from.count()), static_cast<int>(to.count())));
    }
    bool chance(int percent) { return number(1, 100) <= percent; }

    std::mt19937_64 engine;
};

struct GatewayProcess
{
    pid_t pid = 0;
    std::uint16_t port = 0;
    /// It is suspended or stopping.
    bool isBusy = false;
};

json &routeOf(json &config, const std::string &name)
{
    for (auto &it : config["Routes"])
        if (it["Name"] == name)
            return it;
    throw std::logic_error("no route " + name);
}

void removeNamed(json &list, const std::string &name)
{
    for (std::size_t n = list.size(); n-- > 0;)
        if (list[n]["Name"].get<std::string>().starts_with(name))
            list.erase(n);
}

bool hasNamed(const json &list, const std::string &name)
{
    return std::any_of(list.begin(), list.end(),
                       [&](const auto &it) { return it["Name"] == name; });
}

SoakVersion versionOf(const json &config)
{
    SoakVersion it;
    it.putAt = BootClock::now();
    for (const auto &key : config["Tenants"][0]["ApiKeys"])
        it.keys.insert(key.get<std::string>());
    for (const auto &model : config["Services"][0]["Engine"]["Models"])
        it.models.insert(model["Name"].get<std::string>());
    for (const auto &route : config["Routes"])
        it.timeouts[route["Name"].get<std::string>()] =
                std::chrono::milliseconds(route["TimeoutMs"].get<int>());
    it.idleTimeout = std::chrono::milliseconds(config["Limits"]["IdleTimeoutMs"].get<int>());
    it.headerTimeout = std::chrono::milliseconds(config["Limits"]["HeaderTimeoutMs"].get<int>());
    return it;
}

class Soak
{
public:
    explicit Soak(std::uint64_t seed);
    ~Soak();
    Soak(const Soak &) = delete;
    Soak &operator=(const Soak &) = delete;

    SoakResult run(Duration length);

private:
    // Processes.
    void startGateway(std::size_t n);
    void writeSettings(std::size_t n, Rng &rng);
    bool awaitReady(std::size_t n);
    void watchProcesses();

    // Disruptions, on the thread of the store and the targets.
    TargetStandIn &addTarget(const std::string &id, const std::string &service,
                             std::set<std::string> models);
    void putConfig(const std::string &text);
    std::string changeConfig(Rng &rng);
    asio::awaitable<void> changeConfigs(Rng rng);
    asio::awaitable<void> disturbTargets(Rng rng);
    asio::awaitable<void> disturbGateways(Rng rng);
    asio::awaitable<void> disturbStore(Rng rng);
    asio::awaitable<void> suspend(std::size_t n, Duration length);
    asio::awaitable<void> restart(std::size_t n, Rng rng);
    /// Records a violation that concerns no single request.
    void report(std::size_t gateway, const std::string &what);
    void note(Duration length, std::size_t gateway, bool delaysConfig, std::string text);

    // Callers, each on its own thread.
    void callUntilStopped(int caller);
    [[nodiscard]] Duration pauseOf(Rng &rng);
    void callOnce(Rng &rng, const std::string &id, SoakConnection &connection,
                  std::size_t &gateway);
    [[nodiscard]] SoakVersion newestVersion();

    std::filesystem::path m_dir;
    asio::io_context m_context;
    standin::PlatformServer m_store;
    Endpoint m_storeAddress;
    std::vector<std::unique_ptr<TargetStandIn>> m_targets;
    std::array<GatewayProcess, SoakGateways> m_gateways;
    std::atomic<bool> m_isStopped = false;
    json m_config;
    int m_addedRoutes = 0;

    std::mutex m_mutex;
    /// Guarded by m_mutex; steps, stops and resumes belong to the thread of the targets.
    SoakRecord m_record;
};

Soak::Soak(std::uint64_t seed)
    : m_store(m_context, { .readsPerSecond = 10000, .writesPerSecond = 2000 }),
      m_storeAddress(m_store.listen({ "127.0.0.1", 0 }).value()), m_config(siteConfig(1))
{
    m_record.seed = seed;
    m_record.startedAt = BootClock::now();
    auto pathTemplate = (std::filesystem::temp_directory_path() / "bluebell-soak-XXXXXX").string();
    m_dir = ::mkdtemp(pathTemplate.data());
    m_config["Tenants"][0]["ApiKeys"].push_back("key-2");
    m_config["Services"].push_back({ { "Name", "plain2" }, { "MaxConns", 100 } });
    m_config["Limits"]["IdleTimeoutMs"] = 2000;
    m_config["Limits"]["HeaderTimeoutMs"] = 2000;
    addTarget("e1", "engines", { "m0", "m1" }).behaviour.workDuration = 70ms;
    // Streams that last longer than the time that a withdrawn key leaves them.
    addTarget("e2", "engines", { "m0", "m2" }).behaviour.workDuration = 400ms;
    addTarget("e3", "engines", { "m1" }).behaviour.workDuration = 120ms;
    addTarget("p1", "plain", {}).behaviour.workDuration = 70ms;
    addTarget("p2", "plain2", {}).behaviour.workDuration = 200ms;
    putConfig("first configuration");
    Rng rng(seed);
    for (std::size_t n = 0; n < SoakGateways; ++n) {
        m_gateways[n].port = freePorts(PortsPerGateway);
        m_record.logFiles.at(n) = m_dir / ("gateway-" + std::to_string(n) + ".log");
        writeSettings(n, rng);
        startGateway(n);
    }
}

Soak::~Soak()
{
    for (auto &it : m_gateways)
        if (it.pid > 0) {
            ::kill(it.pid, SIGKILL);
            ::waitpid(it.pid, nullptr, 0);
        }
    std::filesystem::remove_all(m_dir);
}

TargetStandIn &Soak::addTarget(const std::string &id, const std::string &service,
                               std::set<std::string> models)
{
    m_targets.push_back(std::make_unique<TargetStandIn>(m_context, m_store, id, service));
    auto &it = *m_targets.back();
    it.isEngine = service == "engines";
    it.models = std::move(models);
    it.events = SoakEvents;
    it.observer = [this, id](TargetStep step, const std::string &attempt) {
        m_record.steps[attempt].push_back({ BootClock::now(), id, step });
    };
    it.listen();
    it.publishEntry();
    return it;
}

void Soak::startGateway(std::size_t n)
{
    auto &it = m_gateways[n];
    const auto program = std::string(BLUEBELL_BIN_DIR "/bluebell-gateway");
    const auto settings = (m_dir / ("settings-" + std::to_string(n) + ".toml")).string();
    const auto parent = ::getpid();
    it.pid = ::fork();
    if (it.pid != 0)
        return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent)
        ::_exit(1);
    const int log = ::open(m_record.logFiles.at(n).c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(log, 1);
    ::dup2(log, 2);
    ::execl(program.c_str(), program.c_str(), "--settings", settings.c_str(), nullptr);
    ::_exit(127);
}

void Soak::writeSettings(std::size_t n, Rng &rng)
{
    const auto port = m_gateways[n].port;
    const auto address = [&](int offset) {
        return "\"127.0.0.1:" + std::to_string(port + offset) + "\"\n";
    };
    const auto path = m_dir / ("settings-" + std::to_string(n) + ".toml");
    const auto draft = path.string() + ".new";
    std::ofstream(draft) << "NodeName = \"front-" << n << "\"\nZone = \"leicester\"\n"
                         << "Ip = \"127.0.0.1\"\nFirstStart = false\nInnerPortRange = [" << port + 4
                         << ", " << port + 9 << "]\n[Listen]\nFront = " << address(0)
                         << "Ready = " << address(1) << "Directory = " << address(2)
                         << "Control = " << address(3)
                         << "[Limits]\nCpuShare = 0.25\nCores = 1\n[Bounds]\nGraceS = 8\n"
                         << "DrainMs = " << rng.number(1000, 3000)
                         << "\nLeaseMs = " << rng.number(1000, 4000)
                         << "\nttl_max_s = " << rng.number(2, 6) << "\n[Platform]\nAddress = \""
                         << toString(m_storeAddress) << "\"\n";
    std::filesystem::rename(draft, path);
}

bool Soak::awaitReady(std::size_t n)
{
    for (const auto end = BootClock::now() + 20s; BootClock::now() < end;) {
        SoakConnection connection;
        if (connection.open(m_gateways[n].port + 1)) {
            const auto it = connection.exchange({ "GET", "/-/ready", { { "Host", "x" } }, {} }, {},
                                                BootClock::now() + 2s);
            if (it.isComplete && it.response.status == 200)
                return true;
        }
        std::this_thread::sleep_for(50ms);
    }
    return false;
}

void Soak::watchProcesses()
{
    for (std::size_t n = 0; n < SoakGateways; ++n)
        if (auto &it = m_gateways[n];
            !it.isBusy && it.pid > 0 && ::waitpid(it.pid, nullptr, WNOHANG) == it.pid) {
            report(n, "ended by itself");
            startGateway(n);
        }
}

void Soak::report(std::size_t gateway, const std::string &what)
{
    const std::lock_guard lock(m_mutex);
    m_record.violations.push_back("seed " + std::to_string(m_record.seed) + ", "
                                  + m_record.secondsAt(BootClock::now()) + ": gateway "
                                  + std::to_string(gateway) + ' ' + what);
}

void Soak::note(Duration length, std::size_t gateway, bool delaysConfig, std::string text)
{
    const auto now = BootClock::now();
    const std::lock_guard lock(m_mutex);
    m_record.disruptions.push_back({ now, now + length, gateway, delaysConfig, std::move(text) });
}

void Soak::putConfig(const std::string &text)
{
    m_config["Version"] = m_record.versions.size() + 1;
    {
        const std::lock_guard lock(m_mutex);
        m_record.versions.push_back(versionOf(m_config));
    }
    note({}, SoakGateways, false,
         "version " + std::to_string(m_record.versions.size()) + ": " + text);
    m_store.put("op", "config", m_config.dump());
}

std::string Soak::changeConfig(Rng &rng)
{
    auto &limits = m_config["Limits"];
    auto &routes = m_config["Routes"];
    auto &models = m_config["Services"][0]["Engine"]["Models"];
    switch (rng.number(0, 9)) {
    case 0:
    case 1:
        limits["IdleTimeoutMs"] = rng.number(700, 4000);
        return "IdleTimeoutMs " + limits["IdleTimeoutMs"].dump();
    case 2:
        limits["HeaderTimeoutMs"] = rng.number(700, 4000);
        return "HeaderTimeoutMs " + limits["HeaderTimeoutMs"].dump();
    case 3:
        for (auto &it : routes)
            it["TimeoutMs"] = rng.number(5000, 15000);
        return "timeouts";
    case 4:
        routeOf(m_config, "look")["Service"] =
                rng.chance(50) && hasNamed(m_config["Services"], "plain2") ? "plain2" : "plain";
        return "look at " + routeOf(m_config, "look")["Service"].dump();
    case 5: {
        auto route = routeOf(m_config, "order");
        const auto name = "added" + std::to_string(++m_addedRoutes);
        route["Name"] = name;
        route["Prefix"] = "/" + name + "/";
        routes.push_back(route);
        return "route " + name;
    }
    case 6: {
        auto &keys = m_config["Tenants"][0]["ApiKeys"];
        keys = keys.size() > 1 ? json::array({ "key-1" }) : json::array({ "key-1", "key-2" });
        return keys.size() > 1 ? "key-2 given" : "key-2 withdrawn";
    }
    case 7:
        if (hasNamed(models, "m2"))
            removeNamed(models, "m2");
        else
            models.push_back(siteConfig(1)["Services"][0]["Engine"]["Models"][2]);
        return hasNamed(models, "m2") ? "model m2 given" : "model m2 dropped";
    case 8:
        if (hasNamed(m_config["Services"], "plain2")) {
            removeNamed(m_config["Services"], "plain2");
            routeOf(m_config, "look")["Service"] = "plain";
            return "service plain2 dropped";
        }
        m_config["Services"].push_back({ { "Name", "plain2" }, { "MaxConns", 100 } });
        return "service plain2 given";
    default:
        if (hasNamed(routes, "bulk0")) {
            removeNamed(routes, "bulk");
            return "300 routes removed";
        }
        for (int n = 0; n < 300; ++n) {
            auto route = routeOf(m_config, "look");
            route["Name"] = "bulk" + std::to_string(n);
            route["Prefix"] = "/bulk" + std::to_string(n) + "/";
            routes.push_back(route);
        }
        return "300 routes added";
    }
}

asio::awaitable<void> Soak::changeConfigs(Rng rng)
{
    while (!m_isStopped) {
        co_await sleepFor(rng.chance(25) ? rng.time(20ms, 100ms) : rng.time(300ms, 1200ms));
        putConfig(changeConfig(rng));
    }
}

asio::awaitable<void> Soak::disturbTargets(Rng rng)
{
    while (!m_isStopped) {
        co_await sleepFor(rng.time(200ms, 900ms));
        const auto n =
                static_cast<std::size_t>(rng.number(0, static_cast<int>(m_targets.size()) - 1));
        auto &behaviour = m_targets[n]->behaviour;
        // Two silences of a target do not follow each other at once.
        if (BootClock::now() < behaviour.silentUntil + 1s)
            continue;
        if (behaviour.isFull || rng.chance(20)) {
            behaviour.isFull = !behaviour.isFull;
            note({}, SoakGateways, false,
                 "target " + std::to_string(n) + (behaviour.isFull ? " is full" : " accepts"));
        } else if (behaviour.failureStatus != 0 || rng.chance(15)) {
            // Requests run, and the response promises that they have not.
            constexpr std::array<unsigned, 3> Statuses { 408, 429, 503 };
            behaviour.failureStatus = behaviour.failureStatus != 0
                    ? 0
                    : Statuses.at(static_cast<std::size_t>(rng.number(0, 2)));
            note({}, SoakGateways, false,
                 "target " + std::to_string(n) + " answers with status "
                         + std::to_string(behaviour.failureStatus));
        } else {
            const auto length = rng.time(800ms, 1800ms);
            behaviour.silentUntil = BootClock::now() + length;
            note(length, SoakGateways, false, "target " + std::to_string(n) + " is silent");
        }
    }
    for (auto &it : m_targets) {
        it->behaviour.isFull = false;
        it->behaviour.failureStatus = 0;
    }
}

asio::awaitable<void> Soak::suspend(std::size_t n, Duration length)
{
    auto &it = m_gateways[n];
    ::kill(it.pid, SIGSTOP);
    note(length, n, true, "SIGSTOP");
    co_await sleepFor(length);
    ::kill(it.pid, SIGCONT);
    m_record.resumes.at(n).push_back(BootClock::now());
    it.isBusy = false;
}

asio::awaitable<void> Soak::restart(std::size_t n, Rng rng)
{
    auto &it = m_gateways[n];
    m_record.stops.at(n).push_back(BootClock::now());
    ::kill(it.pid, SIGTERM);
    note(SoakGracePeriod, n, true, "SIGTERM");
    const auto end = BootClock::now() + SoakGracePeriod + 3s;
    int status = 0;
    while (::waitpid(it.pid, &status, WNOHANG) == 0) {
        if (BootClock::now() > end) {
            report(n, "did not stop");
            ::kill(it.pid, SIGKILL);
        }
        co_await sleepFor(20ms);
    }
    if (WIFSIGNALED(status))
        report(n, "ended by signal " + std::to_string(WTERMSIG(status)));
    it.pid = 0;
    note({}, n, true, "has ended");
    co_await sleepFor(rng.time(20ms, 300ms));
    startGateway(n);
    note(2s, n, true, "started");
    // Signals end a process that has not set its handlers yet.
    SoakConnection connection;
    for (const auto limit = BootClock::now() + 20s;
         BootClock::now() < limit && !connection.open(it.port + 1);)
        co_await sleepFor(50ms);
    co_await sleepFor(200ms);
    it.isBusy = false;
}

asio::awaitable<void> Soak::disturbGateways(Rng rng)
{
    while (!m_isStopped) {
        co_await sleepFor(rng.time(300ms, 1500ms));
        watchProcesses();
        const auto n = static_cast<std::size_t>(rng.number(0, SoakGateways - 1));
        if (m_gateways[n].isBusy)
            continue;
        const auto kind = rng.number(0, 2);
        if (kind == 0) {
            writeSettings(n, rng);
            ::kill(m_gateways[n].pid, SIGHUP);
            note({}, n, false, "SIGHUP");
            continue;
        }
        m_gateways[n].isBusy = true;
        if (kind == 1)
            asio::co_spawn(m_context, suspend(n, rng.time(300ms, 1500ms)), asio::detached);
        else
            asio::co_spawn(m_context, restart(n, Rng(rng.engine())), asio::detached);
    }
}

asio::awaitable<void> Soak::disturbStore(Rng rng)
{
    while (!m_isStopped) {
        co_await sleepFor(rng.time(1500ms, 4000ms));
        auto &faults = m_store.faults();
        const auto length = rng.time(300ms, 2000ms);
        const auto kind = rng.number(0, 4);
        constexpr std::array<const char *, 5> Texts { "store is slow", "store refuses",
                                                      "store loses replies", "store is compacted",
                                                      "store is restored from an older copy" };
        note(length, SoakGateways, true, Texts.at(static_cast<std::size_t>(kind)));
        if (kind == 0)
            faults.delay = rng.time(50ms, 400ms);
        else if (kind == 1)
            faults.outage = true;
        else if (kind == 2)
            faults.lostReplies = 3;
        else if (kind == 3)
            m_store.compact();
        else
            m_store.rollback(rng.time(300ms, 3000ms), length / 2);
        co_await sleepFor(length);
        faults = {};
    }
}

SoakVersion Soak::newestVersion()
{
    const std::lock_guard lock(m_mutex);
    return m_record.versions.back();
}

void Soak::callUntilStopped(int caller)
{
    constexpr std::uint64_t SeedsPerSoak = 1000;
    Rng rng(m_record.seed * SeedsPerSoak + static_cast<std::uint64_t>(caller));
    SoakConnection connection;
    std::size_t gateway = 0;
    for (int n = 0; !m_isStopped; ++n) {
        callOnce(rng, "c" + std::to_string(caller) + "-" + std::to_string(n), connection, gateway);
        std::this_thread::sleep_for(pauseOf(rng));
    }
}

Duration Soak::pauseOf(Rng &rng)
{
    const std::lock_guard lock(m_mutex);
    const auto &versions = m_record.versions;
    if (rng.chance(75))
        return rng.time(0ms, 60ms);
    if (rng.chance(70))
        return versions.back().idleTimeout * rng.number(0, 80) / 100;
    // Next to the close of the connection by a limit that was in force lately.
    const auto recent = std::min<std::size_t>(versions.size(), 4);
    const auto n =
            versions.size() - static_cast<std::size_t>(rng.number(1, static_cast<int>(recent)));
    return versions[n].idleTimeout + rng.time(-10ms, 5ms);
}

void Soak::callOnce(Rng &rng, const std::string &id, SoakConnection &connection,
                    std::size_t &gateway)
{
    constexpr std::array<const char *, 7> Routes { "chat",  "chat",  "review", "review",
                                                   "order", "order", "look" };
    const auto version = newestVersion();
    SoakRequest it;
    it.id = id;
    it.route = Routes.at(static_cast<std::size_t>(rng.number(0, Routes.size() - 1)));
    if (rng.chance(5))
        it.route = "added" + std::to_string(rng.number(1, 9));
    it.key = rng.chance(65) ? "key-1" : "key-2";
    it.model = "m" + std::to_string(rng.number(0, 2));
    it.deadline = rng.chance(15) ? rng.time(2500ms, 5000ms) : rng.time(7000ms, 14000ms);
    WireOptions options;
    options.isChunked = rng.chance(30);
    options.closesAfterwards = rng.chance(15);
    if (rng.chance(10))
        options.pause = version.headerTimeout * rng.number(10, 50) / 100;
    HttpRequest request { "POST", "/" + it.route + "/x", {}, {} };
    request.body.assign(static_cast<std::size_t>(rng.chance(20) ? rng.number(1, 40000) : 2), 'x');
    request.headers = { { "Host", "shop.example" },
                        { "X-Attempt-Id", id },
                        { "Authorization", "Bearer " + it.key },
                        { "X-Deadline-Ms", std::to_string(toMilliseconds(it.deadline).count()) } };
    if (it.isStream()) {
        request.headers.push_back({ "X-Model", it.model });
        request.headers.push_back({ "X-Token-Counts", "10,20" });
    }
    if (rng.chance(10))
        connection.close();
    if (!connection.isUsable()) {
        if (connection.hasUnexpectedBytes())
            report(gateway, "sent bytes to a caller that had no request waiting, before " + id);
        gateway = static_cast<std::size_t>(rng.number(0, SoakGateways - 1));
        if (!connection.open(m_gateways[gateway].port))
            return;
    }
    it.gateway = gateway;
    it.exchange = connection.exchange(request, options, BootClock::now() + it.deadline + 300ms);
    const std::lock_guard lock(m_mutex);
    m_record.requests.push_back(std::move(it));
}

SoakResult Soak::run(Duration length)
{
    std::thread world([this] { m_context.run(); });
    bool isReady = true;
    for (std::size_t n = 0; n < SoakGateways; ++n)
        isReady = awaitReady(n) && isReady;
    if (!isReady)
        report(SoakGateways, "none or some not ready in time");
    std::vector<std::thread> callers;
    if (isReady) {
        Rng rng(m_record.seed);
        asio::co_spawn(m_context, changeConfigs(Rng(rng.engine())), asio::detached);
        asio::co_spawn(m_context, disturbTargets(Rng(rng.engine())), asio::detached);
        asio::co_spawn(m_context, disturbGateways(Rng(rng.engine())), asio::detached);
        asio::co_spawn(m_context, disturbStore(Rng(rng.engine())), asio::detached);
        for (int n = 0; n < Callers; ++n)
            callers.emplace_back([this, n] { callUntilStopped(n); });
        std::this_thread::sleep_for(length);
    }
    m_isStopped = true;
    for (auto &it : callers)
        it.join();
    m_context.stop();
    world.join();
    for (std::size_t n = 0; n < SoakGateways; ++n) {
        std::ifstream log(m_record.logFiles.at(n));
        for (std::string line; std::getline(log, line);)
            if (line.find("Sanitizer") != std::string::npos
                || line.find("runtime error:") != std::string::npos
                || line.find("request handler failed") != std::string::npos)
                report(n, "logged " + line);
    }
    return checkSoak(m_record);
}

} // namespace

SoakResult runGatewaySoak(std::uint64_t seed, std::chrono::seconds length)
{
    return Soak(seed).run(length);
}

} // namespace bluebell::testing
