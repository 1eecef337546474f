#include "membership/lease.h"

namespace bluebell {

bool LeaseHolder::isRenewalDue(TimePoint now) const noexcept
{
    if (m_isFenced || m_sentAt)
        return false;
    return !m_lastAttempt || now - *m_lastAttempt >= m_settings.renewalInterval;
}

void LeaseHolder::renewalSent(TimePoint now) noexcept
{
    m_sentAt = now;
    m_lastAttempt = now;
}

void LeaseHolder::renewalSucceeded(RowVersion version) noexcept
{
    if (!m_sentAt || m_isFenced)
        return;
    m_version = version;
    m_validUntil = *m_sentAt + m_settings.duration - m_settings.margin;
    m_sentAt.reset();
}

void LeaseHolder::renewalFailed() noexcept
{
    m_sentAt.reset();
}

void LeaseHolder::fenced() noexcept
{
    m_isFenced = true;
    m_validUntil.reset();
    m_sentAt.reset();
}

bool LeaseHolder::isValid(TimePoint now) const noexcept
{
    return m_validUntil && now < *m_validUntil;
}

void LeaseObserver::noteRead(RowVersion version, TimePoint now) noexcept
{
    const bool isContinuous =
            m_lastRead && now - *m_lastRead <= m_settings.maxReadGap && version == m_version;
    if (!isContinuous)
        m_since = now;
    m_version = version;
    m_lastRead = now;
}

bool LeaseObserver::hasExpired(TimePoint now) const noexcept
{
    if (!m_since || !m_lastRead || now - *m_lastRead > m_settings.maxReadGap)
        return false;
    return *m_lastRead - *m_since >= m_settings.duration + m_settings.margin;
}

} // namespace bluebell
