#include "controller/daemon.h"
#include "settings/daemonmain.h"

/// \file
/// bluebell-controller: coordinates configuration, rate limits and placement; runs on every entry
/// VM.

namespace {

using namespace bluebell;

std::vector<SettingSpec> specs()
{
    const auto ms = std::chrono::nanoseconds(std::chrono::milliseconds(1)).count();
    const controller::DaemonSettings defaults;
    return {
        { "vm", std::string("vm-1"), "name of this VM, as the platform lists it" },
        { "listen", Endpoint { "127.0.0.1", 0 }, "address of the peer interface" },
        { "platform", Endpoint { "127.0.0.1", 7000 }, "address of the platform's services" },
        { "peers", std::string(), "controllers to contact while the table service is unavailable" },
        { "log-level", std::string("info"), "debug, info, warning or error" },
        { "write-address", std::string(),
          "file to which the address of the peer interface is written" },
        { "lease-duration", defaults.lease.duration, "duration of a member lease", 500 * ms,
          120000 * ms },
        { "lease-margin", defaults.lease.margin,
          "safety margin for clocks that run at different speeds", 10 * ms, 10000 * ms },
        { "lease-renewal", defaults.lease.renewalInterval, "time between two renewals of the lease",
          50 * ms, 60000 * ms },
        { "freshness-bound", defaults.config.freshnessBound,
          "how long a configuration counts as the newest after it was confirmed", 500 * ms,
          8000 * ms },
        { "grant-validity", defaults.rate.grantValidity, "how long a rate grant can be used",
          100 * ms, 60000 * ms },
        { "grant-lapse", defaults.rate.grantExpiry,
          "time after which an unreported grant counts as used", 200 * ms, 120000 * ms },
    };
}

Result<controller::DaemonSettings> daemonSettings(const Settings &settings)
{
    controller::DaemonSettings it;
    it.vm = VmId(settings.text("vm"));
    it.listen = settings.endpoint("listen");
    it.platform = settings.endpoint("platform");
    BOOST_OUTCOME_TRY(it.seeds, parseEndpoints(settings.text("peers")));
    it.lease.duration = settings.duration("lease-duration");
    it.lease.margin = settings.duration("lease-margin");
    it.lease.renewalInterval = settings.duration("lease-renewal");
    it.config.freshnessBound = settings.duration("freshness-bound");
    it.rate.grantValidity = settings.duration("grant-validity");
    it.rate.grantExpiry = settings.duration("grant-lapse");
    if (it.lease.renewalInterval * 2 > it.lease.duration - it.lease.margin)
        return makeError(ErrorCode::InvalidArgument,
                         "twice lease-renewal must not exceed lease-duration minus lease-margin");
    if (it.rate.grantExpiry <= it.rate.grantValidity)
        return makeError(ErrorCode::InvalidArgument,
                         "grant-lapse must be longer than grant-validity");
    return it;
}

} // namespace

int main(int argc, char **argv)
{
    Settings settings("bluebell-controller",
                      "coordinates configuration, rate limits and placement on an entry VM",
                      specs());
    return runDaemon<controller::Daemon>("bluebell-controller", settings, argc, argv,
                                         daemonSettings);
}
