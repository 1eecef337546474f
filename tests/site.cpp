#include "tests/site.h"

#include "http/client.h"
#include "rules/parser.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>

extern char **environ; // NOLINT

namespace asio = boost::asio;

namespace bluebell::tests {
namespace {

const std::string BinDir = BLUEBELL_BIN_DIR;
const std::string Rules = BLUEBELL_EXAMPLES "/needlepoint.rules";
const std::string Organisation = "leicester-hifi";

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string trimmed(std::string text)
{
    while (!text.empty() && text.back() == '\n')
        text.pop_back();
    return text;
}

pid_t spawn(const std::vector<std::string> &arguments, const std::string &out,
            const std::string &err)
{
    std::vector<char *> argv;
    for (const auto &argument : arguments)
        argv.push_back(const_cast<char *>(argument.c_str()));
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, out.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
    posix_spawn_file_actions_addopen(&actions, 2, err.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    pid_t pid = 0;
    EXPECT_EQ(posix_spawn(&pid, argv[0], &actions, nullptr, argv.data(), environ), 0);
    posix_spawn_file_actions_destroy(&actions);
    return pid;
}

} // namespace

Site::Site(SiteOptions options) : m_options(std::move(options))
{
    auto pathTemplate = (std::filesystem::temp_directory_path() / "bluebell-XXXXXX").string();
    m_dir = mkdtemp(pathTemplate.data());
    m_rulesPath = path("shop.rules");
    m_farmPid = start("bluebell-standin",
                      { "farm", "--rules", Rules, "--write-rules", m_rulesPath, "--write-address",
                        path("platform"), "--token-interval", m_options.tokenInterval,
                        "--model-load", m_options.modelLoad });
    m_platform = readAddress("platform");
    const auto parsed = parseRules(m_rulesPath, readFile(m_rulesPath));
    for (const auto &[id, rule] : parsed.value().rules.targets)
        m_standins[id.value()] = toString(rule.address);
    m_standins["platform"] = m_platform;
    for (int n = 1; n <= m_options.vms; ++n)
        startVm(n);
}

Site::~Site()
{
    for (auto *pids : { &m_entryPids, &m_controllerPids })
        for (auto &[n, pid] : *pids) {
            signalProcess(pid, SIGCONT);
            signalProcess(pid, SIGKILL);
            waitProcess(pid);
        }
    signalProcess(m_farmPid, SIGKILL);
    waitProcess(m_farmPid);
    if (testing::Test::HasFailure())
        for (const auto &it : std::filesystem::directory_iterator(m_dir))
            if (it.path().extension() == ".log" || it.path().extension() == ".out")
                std::cerr << it.path().filename() << ":\n" << readFile(it.path()) << '\n';
    std::filesystem::remove_all(m_dir);
}

pid_t Site::start(const std::string &program, std::vector<std::string> arguments)
{
    static int count = 0;
    arguments.insert(arguments.begin(), BinDir + '/' + program);
    const auto log = path(program + '-' + std::to_string(++count) + ".log");
    return spawn(arguments, log + ".out", log);
}

std::string Site::readAddress(const std::string &name) const
{
    EXPECT_TRUE(eventually([&] { return readFile(path(name)).ends_with('\n'); }));
    return trimmed(readFile(path(name)));
}

void Site::startVm(int n)
{
    const auto vm = "vm-" + std::to_string(n);
    const auto controllerFile = "controller-" + std::to_string(n);
    const auto entryFile = "entry-" + std::to_string(n);
    std::filesystem::remove(path(controllerFile));
    std::filesystem::remove(path(entryFile));
    m_controllerPids[n] =
            start("bluebell-controller",
                  { "--vm", vm, "--platform", m_platform, "--peers", m_peers, "--write-address",
                    path(controllerFile), "--lease-duration", "3s", "--lease-margin", "300ms",
                    "--lease-renewal", "1s", "--log-level", "info" });
    const auto controller = readAddress(controllerFile);
    const auto controllers = controller + (m_peers.empty() ? "" : "," + m_peers);
    m_peers += (m_peers.empty() ? "" : ",") + controller;
    m_entryPids[n] =
            start("bluebell-entry",
                  { "--vm", vm, "--listen", "127.0.0.1:0", "--platform", m_platform,
                    "--controllers", controllers, "--hold-time", "1s", "--transfer-timeout", "3s",
                    "--write-address", path(entryFile), "--body-bytes", "65536" });
    (void)readAddress(entryFile);
    control("platform", R"({"live_vms":[")" + vm + R"("]})");
}

void Site::applyRules()
{
    const auto created = ctl({ "key", "new", Organisation, "--json" });
    const auto body = nlohmann::json::parse(created.output);
    m_key = body.at("key").get<std::string>();
    std::ofstream(m_rulesPath, std::ios::app) << body.at("rule").get<std::string>() << '\n';
    const auto applied = ctl({ "apply", m_rulesPath, "--wait", "30s" });
    ASSERT_EQ(applied.exitCode, 0) << applied.output;
    for (const auto &[n, pid] : m_entryPids)
        ASSERT_TRUE(eventually([&, entry = n] { return isReady(entry); }));
}

void Site::signalProcess(pid_t pid, int signal)
{
    if (pid > 0)
        kill(pid, signal);
}

int Site::waitProcess(pid_t &pid)
{
    if (pid <= 0)
        return -1;
    int status = 0;
    waitpid(pid, &status, 0);
    pid = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

int Site::waitEntry(int n)
{
    return waitProcess(m_entryPids.at(n));
}

int Site::waitController(int n)
{
    return waitProcess(m_controllerPids.at(n));
}

CommandResult Site::ctl(std::vector<std::string> arguments) const
{
    static int count = 0;
    arguments.insert(arguments.begin(), BinDir + "/bluebell-ctl");
    for (const auto &it : { std::string("--platform"), m_platform, std::string("--controllers"),
                            m_peers, std::string("--author"), std::string("test") })
        arguments.push_back(it);
    const auto name = path("ctl-" + std::to_string(getpid()) + '-' + std::to_string(++count));
    auto pid = spawn(arguments, name + ".out", name + ".log");
    CommandResult result;
    result.exitCode = waitProcess(pid);
    result.output = readFile(name + ".out") + readFile(name + ".log");
    return result;
}

CallResult Site::call(int entry, const HttpRequest &request, std::chrono::seconds timeout) const
{
    CallResult result;
    const auto endpoint = parseEndpoint(trimmed(readFile(path("entry-" + std::to_string(entry)))));
    asio::io_context context;
    auto work = [&]() -> asio::awaitable<void> {
        HttpCall it { endpoint.value(), request, timeout };
        auto stream = co_await openStream(std::move(it));
        if (!stream)
            co_return;
        result.status = stream.value().status();
        for (;;) {
            auto chunk = co_await stream.value().read(BootClock::now() + timeout);
            if (!chunk)
                co_return;
            if (!chunk.value())
                break;
            result.body += *chunk.value();
        }
        result.isComplete = true;
    };
    asio::co_spawn(context, work(), asio::detached);
    context.run();
    return result;
}

CallResult Site::streamChat(int entry, const std::string &model, int tokens,
                            std::chrono::seconds timeout) const
{
    const nlohmann::json body = { { "model", model },
                                  { "stream", true },
                                  { "max_tokens", tokens },
                                  { "messages", { { { "role", "user" }, { "content", "Hi" } } } } };
    return call(entry,
                { "POST",
                  "/v1/chat/completions",
                  { { "Authorization", "Bearer " + m_key } },
                  body.dump() },
                timeout);
}

CallResult Site::postReservation(int entry, const std::string &idempotencyKey,
                                 const std::string &body) const
{
    return call(entry,
                { "POST",
                  "/reservations",
                  { { "Authorization", "Bearer " + m_key }, { "Idempotency-Key", idempotencyKey } },
                  body });
}

std::string Site::control(const std::string &standin, const std::string &json) const
{
    std::string body;
    asio::io_context context;
    auto work = [&]() -> asio::awaitable<void> {
        HttpCall it { parseEndpoint(m_standins.at(standin)).value(),
                      { "POST", "/control", {}, json },
                      std::chrono::seconds(10) };
        const auto response = co_await exchange(std::move(it));
        if (response)
            body = response.value().body;
    };
    asio::co_spawn(context, work(), asio::detached);
    context.run();
    return body;
}

bool Site::eventually(const std::function<bool()> &condition, std::chrono::seconds limit)
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < deadline) {
        if (condition())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return condition();
}

bool Site::isReady(int entry) const
{
    return call(entry, { "GET", "/readyz", {}, {} }, std::chrono::seconds(5)).status == 200;
}

int Site::holderOf(const std::string &role) const
{
    const auto status = ctl({ "status", "--json" });
    const auto begin = status.output.find('[');
    const auto rows = nlohmann::json::parse(
            status.output.substr(begin, status.output.find('\n', begin) - begin), nullptr, false);
    if (rows.is_discarded())
        return 0;
    for (const auto &row : rows)
        if (row.at("name") == role)
            for (const auto &[n, pid] : m_controllerPids)
                if (row.at("controller") == controllerAddress(n))
                    return n;
    return 0;
}

std::string Site::controllerAddress(int n) const
{
    return trimmed(readFile(path("controller-" + std::to_string(n))));
}

std::string Site::sendRaw(int entry, const std::string &bytes) const
{
    const auto endpoint =
            parseEndpoint(trimmed(readFile(path("entry-" + std::to_string(entry))))).value();
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    boost::system::error_code ec;
    socket.connect({ asio::ip::make_address(endpoint.host), endpoint.port }, ec);
    asio::write(socket, asio::buffer(bytes), ec);
    std::string reply;
    asio::read(socket, asio::dynamic_buffer(reply), ec);
    return reply;
}

} // namespace bluebell::tests
