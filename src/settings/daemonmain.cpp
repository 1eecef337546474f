#include "settings/daemonmain.h"

#include "io/background.h"

#include <boost/asio/signal_set.hpp>
#include <fmt/core.h>

#include <csignal>
#include <fstream>

namespace bluebell {

int reportStartFailure(std::string_view program, const Error &error)
{
    constexpr int StartFailure = 2;
    fmt::print(stderr, "{}: {}\n", program, error.message);
    return StartFailure;
}

void reportAddress(const Settings &settings, const Endpoint &address)
{
    log::info("listening", { { "address", toString(address) } });
    if (const auto &path = settings.text("write-address"); !path.empty())
        std::ofstream(path) << toString(address) << '\n';
}

void runUntilStopped(boost::asio::io_context &context, const std::function<void()> &requestStop)
{
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    std::function<void()> waitForSignal = [&] {
        signals.async_wait([&](const auto &ec, int) {
            if (ec)
                return;
            waitForSignal();
            requestStop();
        });
    };
    waitForSignal();
    runEvents(context);
}

} // namespace bluebell
