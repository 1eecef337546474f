#pragma once

#include "core/log.h"
#include "settings/settings.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string_view>
#include <utility>

/// \file
/// Functions shared by the `main` functions of the daemons.

namespace bluebell {

/// Prints `error` on standard error.
///
/// \returns the exit code of a program that failed to start, 2
int reportStartFailure(std::string_view program, const Error &error);

/// Logs the listening address and writes it to the file of the setting `write-address`, if set.
void reportAddress(const Settings &settings, const Endpoint &address);

/// Runs `context` until it has no more work; calls `requestStop` on each SIGINT and SIGTERM.
void runUntilStopped(boost::asio::io_context &context, const std::function<void()> &requestStop);

/// Loads the settings, starts a daemon and runs it until it stops.
///
/// \tparam Daemon has start(), requestStop() and stoppedGracefully()
/// \param convert converts the settings to the type that the daemon takes, or returns an error
/// \returns 0 after a graceful stop, or when only help or settings were requested; 1 after a forced
///          stop; 2 when the settings are invalid or the daemon failed to start
template<typename Daemon, typename Convert>
int runDaemon(std::string_view program, Settings &settings, int argc, char **argv, Convert convert)
{
    log::setProgram(std::string(program));
    const auto mode = settings.load(argc, argv);
    if (!mode)
        return reportStartFailure(program, mode.error());
    auto converted = convert(settings);
    if (!converted)
        return reportStartFailure(program, converted.error());
    if (mode.value() == StartMode::Finished)
        return 0;
    log::setLevel(log::levelFromString(settings.text("log-level")));
    boost::asio::io_context context;
    Daemon daemon(context, std::move(converted.value()));
    const auto address = daemon.start();
    if (!address)
        return reportStartFailure(program, address.error());
    reportAddress(settings, address.value());
    runUntilStopped(context, [&daemon] { daemon.requestStop(); });
    return daemon.stoppedGracefully() ? 0 : 1;
}

} // namespace bluebell
