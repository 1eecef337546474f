#include "membership/drain.h"

namespace bluebell {

void DrainController::requestStop(TimePoint now) noexcept
{
    if (m_requestedAt) {
        m_phase = DrainPhase::Forced;
        return;
    }
    m_requestedAt = now;
    m_phase = DrainPhase::Unlisted;
}

DrainPhase DrainController::advance(std::size_t requestsLeft, TimePoint now) noexcept
{
    if (!m_requestedAt || m_phase == DrainPhase::Forced || m_phase == DrainPhase::Done)
        return m_phase;
    const auto elapsed = now - *m_requestedAt;
    if (elapsed >= m_settings.holdTime)
        m_phase = requestsLeft == 0 ? DrainPhase::Done : DrainPhase::Finishing;
    if (m_phase != DrainPhase::Done && elapsed >= m_settings.deadline)
        m_phase = DrainPhase::Forced;
    return m_phase;
}

} // namespace bluebell
