#include "gateway/daemon.h"

#include "platform/settings.h"
#include "settings/daemonmain.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/program_options.hpp>
#include <fmt/core.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <utility>

/// \file
/// bluebell-gateway: the gateway daemon, one process on every entry VM of the platform.

namespace {

namespace options = boost::program_options;
using namespace bluebell;

constexpr std::string_view Program = "bluebell-gateway";

std::string settingsPath()
{
    const char *path = std::getenv(platform::SettingsVariable); // NOLINT(concurrency-mt-unsafe)
    return path ? path : "";
}

std::string readFile(const std::string &path)
{
    std::ifstream in(path);
    return { std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>() };
}

/// Reloads the settings file on SIGHUP, and whenever its content has changed.
class SettingsWatch
{
public:
    SettingsWatch(boost::asio::io_context &context, std::string path, gateway::Daemon &daemon)
        : m_path(std::move(path)), m_daemon(daemon), m_signals(context, SIGHUP), m_timer(context),
          m_text(readFile(m_path))
    {
        awaitSignal();
        awaitTimer();
    }

private:
    static constexpr auto PollInterval = std::chrono::seconds(2);

    void awaitSignal()
    {
        m_signals.async_wait([this](const auto &ec, int) {
            if (ec)
                return;
            awaitSignal();
            log::info("settings reload requested", { { "file", m_path } });
            reload(readFile(m_path));
        });
    }

    void awaitTimer()
    {
        m_timer.expires_after(PollInterval);
        m_timer.async_wait([this](const auto &ec) {
            if (ec)
                return;
            awaitTimer();
            if (auto text = readFile(m_path); text != m_text)
                reload(std::move(text));
        });
    }

    void reload(std::string text)
    {
        m_text = std::move(text);
        const auto settings = platform::readSettings(m_path);
        if (settings)
            m_daemon.applySettings(settings.value());
        else
            log::error("failed to reload the settings, keeping the previous ones",
                       { { "cause", settings.error().message } });
    }

    std::string m_path;
    gateway::Daemon &m_daemon;
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_timer;
    std::string m_text;
};

} // namespace

int main(int argc, char **argv)
{
    log::setProgram(std::string(Program));
    options::options_description description(
            "bluebell-gateway: routes callers' requests on an entry VM");
    std::string path;
    std::string level;
    const auto settingsHelp =
            fmt::format("settings file; default: ${}", platform::SettingsVariable);
    description.add_options()("help", "print this help")("check",
                                                         "validate the settings file and exit")(
            "settings", options::value(&path)->default_value(settingsPath()),
            settingsHelp.c_str())("log-level", options::value(&level)->default_value("info"),
                                  "debug, info, warning or error");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
    } catch (const options::error &e) {
        return reportStartFailure(Program, makeError(ErrorCode::InvalidArgument, e.what()));
    }
    if (values.contains("help")) {
        std::cout << description;
        return 0;
    }
    auto settings = platform::readSettings(path);
    if (!settings)
        return reportStartFailure(Program, settings.error());
    if (values.contains("check"))
        return 0;
    log::setLevel(log::levelFromString(level));
    boost::asio::io_context context(1);
    gateway::Daemon daemon(context, std::move(settings.value()));
    if (const auto address = daemon.start(); !address)
        return reportStartFailure(Program, address.error());
    SettingsWatch watch(context, path, daemon);
    runUntilStopped(context, [&daemon] { daemon.requestStop(); });
    return daemon.stoppedGracefully() ? 0 : 1;
}
