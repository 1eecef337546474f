#include "core/clockwatch.h"

namespace bluebell {
namespace {

using std::chrono::milliseconds;

/// Differences between clocks below this are not told.
constexpr Duration LeastDifference = milliseconds(250);
/// A reading that comes this much late means that the daemon got no turn.
constexpr Duration LeastDelay = milliseconds(400);

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
        const auto stopped = boot - steady;
        if (stopped >= LeastDifference)
            events.push_back({ ClockEventKind::StoodStill, stopped });
        if (steady - m_interval >= LeastDelay)
            events.push_back({ ClockEventKind::HeldUp, steady - m_interval });
        const auto jump = timeOfDay - boot;
        if (jump >= LeastDifference || jump <= -LeastDifference)
            events.push_back({ ClockEventKind::TimeOfDayJumped, jump });
    }
    m_last = reading;
    return events;
}

} // namespace bluebell
