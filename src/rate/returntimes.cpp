#include "rate/returntimes.h"

#include <algorithm>

namespace bluebell {

Duration ReturnTimes::add(double tokens, double deficit, double rate, int priority, TimePoint now)
{
    while (!m_positions.empty() && m_positions.begin()->first.first <= now)
        m_positions.erase(m_positions.begin());
    double ahead = 0;
    for (const auto &[key, reserved] : m_positions)
        ahead += key.second <= priority ? reserved : 0;
    const auto needed = std::max(deficit, 0.0) + ahead + tokens;
    const std::chrono::duration<double> wait(needed / std::max(rate, 1.0));
    if (wait >= MaxWait)
        return MaxWait;
    const auto rounded = std::max<Duration>(std::chrono::duration_cast<Duration>(wait),
                                            std::chrono::milliseconds(1));
    const auto slots = (now + rounded).time_since_epoch() / SlotLength + 1;
    m_positions[{ TimePoint(slots * SlotLength), priority }] += tokens;
    return rounded;
}

} // namespace bluebell
