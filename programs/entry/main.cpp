#include "entry/daemon.h"
#include "settings/daemonmain.h"

/// \file
/// bluebell-entry: the daemon that serves callers on every entry VM.

namespace {

using namespace bluebell;

std::vector<SettingSpec> specs()
{
    const auto ms = std::chrono::nanoseconds(std::chrono::milliseconds(1)).count();
    const entry::DaemonSettings defaults;
    return {
        { "vm", std::string("vm-1"), "name of this VM, as the platform lists it" },
        { "listen", Endpoint { "127.0.0.1", 8080 }, "address on which callers are served" },
        { "platform", Endpoint { "127.0.0.1", 7000 }, "address of the platform's services" },
        { "controllers", std::string("127.0.0.1:7100"),
          "peer addresses of controllers, the one on this VM first" },
        { "log-level", std::string("info"), "debug, info, warning or error" },
        { "write-address", std::string(), "file to which the listening address is written" },
        { "freshness-bound", defaults.config.freshnessBound,
          "how long a configuration counts as the newest", 500 * ms, 8000 * ms },
        { "hold-time", defaults.drain.holdTime,
          "how long a stopping entry still accepts connections", 0, 600000 * ms },
        { "drain-deadline", defaults.drain.deadline,
          "time after which a stop ends the remaining requests", 100 * ms, 3600000 * ms },
        { "body-bytes", std::int64_t { 1 << 20 }, "maximum size of a request body", 1024, 1 << 28 },
        { "header-bytes", std::int64_t { 16 << 10 }, "maximum size of a request's headers", 1024,
          1 << 20 },
        { "connections", std::int64_t { 4096 }, "maximum number of open connections", 1, 100000 },
        { "transfer-timeout", defaults.http.transferTimeout,
          "maximum time to receive a request or to send a chunk of a response", 100 * ms,
          600000 * ms },
    };
}

Result<entry::DaemonSettings> daemonSettings(const Settings &settings)
{
    entry::DaemonSettings it;
    it.vm = VmId(settings.text("vm"));
    it.listen = settings.endpoint("listen");
    it.platform = settings.endpoint("platform");
    BOOST_OUTCOME_TRY(it.controllers, parseEndpoints(settings.text("controllers")));
    if (it.controllers.empty())
        return makeError(ErrorCode::InvalidArgument, "controllers must name at least one address");
    it.config.freshnessBound = settings.duration("freshness-bound");
    it.drain.holdTime = settings.duration("hold-time");
    it.drain.deadline = settings.duration("drain-deadline");
    it.http.bodyBytes = static_cast<std::size_t>(settings.number("body-bytes"));
    it.http.headerBytes = static_cast<std::size_t>(settings.number("header-bytes"));
    it.http.connections = static_cast<std::size_t>(settings.number("connections"));
    it.http.transferTimeout = settings.duration("transfer-timeout");
    return it;
}

} // namespace

int main(int argc, char **argv)
{
    Settings settings("bluebell-entry", "serves callers on an entry VM", specs());
    return runDaemon<entry::Daemon>("bluebell-entry", settings, argc, argv, daemonSettings);
}
