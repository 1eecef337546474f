#include "core/log.h"
#include "settings/settings.h"
#include "standin/farm.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <fmt/core.h>

#include <cstdio>
#include <fstream>
#include <sstream>
#include <string_view>

/// \file
/// bluebell-standin: stand-ins for the systems around bluebellwalk, for the demo and tests.

namespace {

using namespace bluebell;
using namespace bluebell::standin;

constexpr std::string_view Usage =
        "usage: bluebell-standin platform|engine|service|farm [options]\n"
        "  platform  table service, object store and VM list\n"
        "  engine    one model engine\n"
        "  service   one service that is not a model engine\n"
        "  farm      a platform and a stand-in for every target of a rule file\n"
        "'bluebell-standin NAME --help' lists the options.\n";

std::vector<SettingSpec> specs()
{
    const auto second = std::chrono::nanoseconds(std::chrono::seconds(1)).count();
    return {
        { "listen", Endpoint { "127.0.0.1", 0 }, "address to listen on" },
        { "rules", std::string(), "rule file with the targets of a farm" },
        { "write-rules", std::string(),
          "file that a farm writes the rules with real addresses to" },
        { "write-address", std::string(), "file that the listening address is written to" },
        { "memory-mib", std::int64_t { 81920 }, "memory of an engine in MiB", 1, 1 << 30 },
        { "slots", std::int64_t { 8 }, "requests that an engine runs at the same time", 1, 4096 },
        { "fencing", true, "whether an engine rejects old fencing numbers" },
        { "token-interval", Duration(std::chrono::milliseconds(5)), "time between two tokens", 0,
          60 * second },
        { "model-load", Duration(std::chrono::milliseconds(400)), "time to load a model", 0,
          600 * second },
        { "adapter-load", Duration(std::chrono::milliseconds(7)), "time to load an adapter", 0,
          600 * second },
        { "reads-per-second", std::int64_t { 2000 }, "rate limit of reads", 1, 1000000 },
        { "writes-per-second", std::int64_t { 400 }, "rate limit of writes", 1, 1000000 },
    };
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Replaces a file atomically, so that readers never see part of the text.
void writeFile(const std::string &path, const std::string &text)
{
    if (path.empty())
        return;
    const auto temporary = path + ".tmp";
    std::ofstream(temporary) << text;
    std::rename(temporary.c_str(), path.c_str());
}

int fail(const std::string &message)
{
    fmt::print(stderr, "bluebell-standin: {}\n", message);
    return 2;
}

/// Logs the listening address and writes it to the `write-address` file.
///
/// \returns an exit code; 0 for success
int publishAddress(const Settings &settings, const Result<Endpoint> &address)
{
    if (!address)
        return fail(address.error().message);
    log::info("listening", { { "address", toString(address.value()) } });
    writeFile(settings.text("write-address"), toString(address.value()) + "\n");
    return 0;
}

FarmSettings toFarmSettings(const Settings &settings)
{
    FarmSettings it;
    it.platform = settings.endpoint("listen");
    it.store.modelLoad = settings.duration("model-load");
    it.store.adapterLoad = settings.duration("adapter-load");
    it.tokenInterval = settings.duration("token-interval");
    it.limits = { static_cast<std::uint32_t>(settings.number("reads-per-second")),
                  static_cast<std::uint32_t>(settings.number("writes-per-second")) };
    return it;
}

/// Runs until SIGINT or SIGTERM.
void runUntilSignal(boost::asio::io_context &context)
{
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context](const auto &, int) { context.stop(); });
    context.run();
}

int runFarm(const Settings &settings)
{
    const auto &path = settings.text("rules");
    const auto text = readFile(path);
    const auto parsed = parseRules(path, text);
    if (!parsed)
        return fail(toString(parsed.error().front()));
    boost::asio::io_context context;
    Farm farm(context, toFarmSettings(settings));
    if (const auto started = farm.start(parsed.value().rules); !started)
        return fail(started.error().message);
    writeFile(settings.text("write-rules"), farm.withAddresses(text, parsed.value().rules));
    if (const auto code = publishAddress(settings, farm.platformAddress()); code != 0)
        return code;
    runUntilSignal(context);
    return 0;
}

int runPlatform(const Settings &settings)
{
    boost::asio::io_context context;
    PlatformServer platform(context, toFarmSettings(settings).limits);
    if (const auto code = publishAddress(settings, platform.listen(settings.endpoint("listen")));
        code != 0)
        return code;
    runUntilSignal(context);
    return 0;
}

int runEngine(const Settings &settings)
{
    boost::asio::io_context context;
    WeightStore store(context, toFarmSettings(settings).store);
    EngineSettings engine;
    engine.memory = static_cast<Bytes>(settings.number("memory-mib")) << 20U;
    engine.slots = static_cast<std::uint32_t>(settings.number("slots"));
    engine.checksFencing = settings.flag("fencing");
    engine.tokenInterval = settings.duration("token-interval");
    EngineServer server(context, store, std::move(engine));
    if (const auto code = publishAddress(settings, server.listen(settings.endpoint("listen")));
        code != 0)
        return code;
    runUntilSignal(context);
    return 0;
}

int runService(const Settings &settings)
{
    boost::asio::io_context context;
    ServiceServer server(context);
    if (const auto code = publishAddress(settings, server.listen(settings.endpoint("listen")));
        code != 0)
        return code;
    runUntilSignal(context);
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    log::setProgram("bluebell-standin");
    const std::string_view command = argc > 1 ? argv[1] : "";
    if (command == "--help") {
        fmt::print("{}", Usage);
        return 0;
    }
    Settings settings("bluebell-standin " + std::string(command),
                      "stand-ins for the systems around bluebellwalk", specs());
    const auto isKnown = command == "farm" || command == "platform" || command == "engine"
            || command == "service";
    if (!isKnown) {
        fmt::print(stderr, "{}", Usage);
        return 2;
    }
    const auto mode = settings.load(argc - 1, argv + 1);
    if (!mode)
        return fail(mode.error().message);
    if (mode.value() == StartMode::Finished)
        return 0;
    if (command == "farm")
        return runFarm(settings);
    if (command == "platform")
        return runPlatform(settings);
    return command == "engine" ? runEngine(settings) : runService(settings);
}
