#include "gateway/daemon.h"

#include "platform/settings.h"
#include "settings/daemonmain.h"

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <fmt/core.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

/// \file
/// bluebell-gateway: serves callers on the users' platform, on every VM.

namespace {

namespace options = boost::program_options;
using namespace bluebell;

constexpr std::string_view Program = "bluebell-gateway";

std::string settingsPath()
{
    const char *path = std::getenv(platform::SettingsVariable); // NOLINT(concurrency-mt-unsafe)
    return path ? path : "";
}

/// Reads the settings file again, to tell at once when it cannot be read; what is bound at the
/// start stays in force.
void reload(const std::string &path)
{
    const auto settings = platform::readSettings(path);
    if (settings)
        log::info("settings read again", { { "file", path } });
    else
        log::error("settings not read, the former stay in force",
                   { { "cause", settings.error().message } });
}

void reloadOnHangup(boost::asio::signal_set &signals, const std::string &path)
{
    signals.async_wait([&signals, path](const auto &ec, int) {
        if (ec)
            return;
        reload(path);
        reloadOnHangup(signals, path);
    });
}

} // namespace

int main(int argc, char **argv)
{
    log::setProgram(std::string(Program));
    options::options_description description("bluebell-gateway: serves callers on an entry VM");
    std::string path;
    std::string level;
    description.add_options()("help", "show this text")("check", "check the settings and stop")(
            "settings", options::value(&path)->default_value(settingsPath()),
            "settings file; by default the one that the environment names")(
            "log-level", options::value(&level)->default_value("info"),
            "debug, info, warning or error");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
    } catch (const options::error &e) {
        return failToStart(Program, makeError(ErrorCode::InvalidArgument, e.what()));
    }
    if (values.contains("help")) {
        std::cout << description;
        return 0;
    }
    auto settings = platform::readSettings(path);
    if (!settings)
        return failToStart(Program, settings.error());
    if (values.contains("check"))
        return 0;
    log::setLevel(log::levelFromString(level));
    boost::asio::io_context context(1);
    boost::asio::signal_set hangups(context, SIGHUP);
    reloadOnHangup(hangups, path);
    gateway::Daemon daemon(context, std::move(settings.value()));
    if (const auto address = daemon.start(); !address)
        return failToStart(Program, address.error());
    runUntilStopped(context, [&daemon] { daemon.requestStop(); });
    return daemon.stoppedGracefully() ? 0 : 1;
}
