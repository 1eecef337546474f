#include "core/clockwatch.h"

namespace bluebell {
namespace {

using std::chrono::milliseconds;

/// Smaller differences between two clocks are not reported.
constexpr Duration MinDifference = milliseconds(250);
/// A reading that is at least this late is reported as a scheduling delay of the daemon.
constexpr Duration MinDelay = milliseconds(400);

} // namespace

ClockReading ClockReading::now() noexcept
{
    return { BootClock::now(), std::chrono::steady_clock::now(), std::chrono::system_clock::now() };
}

std::vector<ClockEvent> ClockWatch::note(const ClockReading &reading)
{
    std::vector<ClockEvent> events;
    if (m_last) {
        const auto boot = reading.boot - m_last->boot;
        const Duration steady = reading.steady - m_last->steady;
        const Duration timeOfDay = reading.timeOfDay - m_last->timeOfDay;
        const auto suspended = boot - steady;
        if (suspended >= MinDifference)
            events.push_back({ ClockEventKind::VmSuspended, suspended });
        if (steady - m_interval >= MinDelay)
            events.push_back({ ClockEventKind::DaemonStalled, steady - m_interval });
        const auto step = timeOfDay - boot;
        if (step >= MinDifference || step <= -MinDifference)
            events.push_back({ ClockEventKind::TimeOfDayJumped, step });
    }
    m_last = reading;
    return events;
}

} // namespace bluebell
