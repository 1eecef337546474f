#include "site/storecontact.h"

#include <algorithm>

namespace bluebell {

void StoreContact::noteFailure(TimePoint sentAt) noexcept
{
    if (m_repeatedUntil && sentAt < *m_repeatedUntil)
        return;
    m_lastFailedCallAt = std::max(m_lastFailedCallAt.value_or(sentAt), sentAt);
    m_isLost = true;
}

bool StoreContact::noteReply(TimePoint sentAt) noexcept
{
    if (!m_isLost || sentAt <= *m_lastFailedCallAt)
        return false;
    m_isLost = false;
    m_repeatedUntil = sentAt;
    return true;
}

Duration pauseBeforeRetry(TimePoint sentAt, Duration interval, TimePoint now) noexcept
{
    return std::max<Duration>(sentAt + interval - now, Duration::zero());
}

} // namespace bluebell
