#pragma once

#include "core/log.h"
#include "settings/settings.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string_view>
#include <utility>

/// \file
/// What the `main` functions of the daemons share.

namespace bluebell {

/// Prints `error` as the last word of a program.
///
/// \returns the exit code for wrong settings
int failToStart(std::string_view program, const Error &error);

/// Announces the address in the log and, if the settings ask for it, in a file.
void announceAddress(const Settings &settings, const Endpoint &address);

/// Runs `context` and calls `requestStop` for each SIGINT and SIGTERM.
void runUntilStopped(boost::asio::io_context &context, const std::function<void()> &requestStop);

/// Reads the settings, starts a daemon and runs it.
///
/// \tparam Daemon has start(), requestStop() and stoppedGracefully()
/// \param convert makes the daemon's settings, or says what is wrong
/// \returns 0 after a graceful stop or when only settings were asked for, 1 after a forced stop, 2
/// for
///          wrong settings
template<typename Daemon, typename Convert>
int runDaemon(std::string_view program, Settings &settings, int argc, char **argv, Convert convert)
{
    log::setProgram(std::string(program));
    const auto mode = settings.load(argc, argv);
    if (!mode)
        return failToStart(program, mode.error());
    auto converted = convert(settings);
    if (!converted)
        return failToStart(program, converted.error());
    if (mode.value() == StartMode::Finished)
        return 0;
    log::setLevel(log::levelFromString(settings.text("log-level")));
    boost::asio::io_context context;
    Daemon daemon(context, std::move(converted.value()));
    const auto address = daemon.start();
    if (!address)
        return failToStart(program, address.error());
    announceAddress(settings, address.value());
    runUntilStopped(context, [&daemon] { daemon.requestStop(); });
    return daemon.stoppedGracefully() ? 0 : 1;
}

} // namespace bluebell
