#include "membership/leadership.h"

#include <algorithm>
#include <utility>

namespace bluebell {

Leadership::Leadership(VmId vm, IncarnationId incarnation, Settings settings)
    : m_vm(std::move(vm)), m_incarnation(std::move(incarnation)), m_settings(settings),
      m_holder(settings.lease), m_observer(settings.lease)
{
}

bool Leadership::ownsRecord() const
{
    return m_record && m_record->incarnation == m_incarnation && !m_record->isReleased;
}

bool Leadership::mayClaim(TimePoint now) const
{
    if (m_isReleasing || !m_hasRead)
        return false;
    if (!m_record || m_record->isReleased || m_record->vm == m_vm)
        return true;
    return m_observer.hasExpired(now);
}

LeadershipStep Leadership::next(TimePoint now) const
{
    if (m_isCallPending)
        return LeadershipStep::Wait;
    if (ownsRecord() && !m_needsRead) {
        if (m_isReleasing)
            return LeadershipStep::Write;
        return m_holder.isRenewalDue(now) ? LeadershipStep::Write : LeadershipStep::Wait;
    }
    const bool isLeaderAlive = m_leaderSeenAt && now - *m_leaderSeenAt < m_settings.leaderTimeout;
    const bool mayClaimNow = m_isCandidate && !m_isReleasing;
    if (isLeaderAlive || (!mayClaimNow && !ownsRecord()))
        return LeadershipStep::Wait;
    if (!m_needsRead && mayClaim(now))
        return LeadershipStep::Write;
    const bool isDue = !m_lastRead || now - *m_lastRead >= m_settings.readInterval;
    return isDue ? LeadershipStep::Read : LeadershipStep::Wait;
}

void Leadership::readSent(TimePoint now) noexcept
{
    m_isCallPending = true;
    m_lastRead = now;
}

void Leadership::readSucceeded(const std::optional<LeaderRecord> &record, RowVersion version,
                               TimePoint now)
{
    m_isCallPending = false;
    m_needsRead = false;
    if (!m_hasRead || version != m_version)
        m_versionSince = now;
    m_hasRead = true;
    m_record = record;
    // No daemon writes a longer delay; one from elsewhere must not keep the role from all of them.
    if (m_record)
        m_record->takeoverDelayLeft =
                std::clamp(m_record->takeoverDelayLeft, Duration::zero(), m_settings.takeoverDelay);
    m_version = version;
    m_observer.noteRead(version, now);
    if (!ownsRecord())
        m_epoch = 0;
}

Duration Leadership::takeoverDelayLeft(TimePoint now) const
{
    if (ownsRecord())
        return std::max(m_ordersAllowedAt - now, Duration::zero());
    if (!m_record)
        return Duration::zero();
    if (m_record->vm == m_vm || m_record->isReleased)
        return std::max(m_versionSince + m_record->takeoverDelayLeft - now, Duration::zero());
    const auto lastOrder = m_versionSince + m_settings.lease.duration;
    return std::max(lastOrder + m_settings.takeoverDelay - now, Duration::zero());
}

LeaderRecord Leadership::record(TimePoint now) const
{
    LeaderRecord it;
    it.vm = m_vm;
    it.incarnation = m_incarnation;
    it.isReleased = m_isReleasing;
    it.takeoverDelayLeft = takeoverDelayLeft(now);
    it.epoch = ownsRecord() ? m_record->epoch : (m_record ? m_record->epoch : 0) + 1;
    if (m_isReleasing && m_lastOrder)
        it.takeoverDelayLeft =
                std::max(it.takeoverDelayLeft, *m_lastOrder + m_settings.takeoverDelay - now);
    return it;
}

void Leadership::writeSent(TimePoint now) noexcept
{
    const auto sent = record(now);
    m_isCallPending = true;
    m_ordersAllowedAt = now + sent.takeoverDelayLeft;
    m_holder.renewalSent(now);
    m_record = sent;
    m_epoch = sent.epoch;
}

void Leadership::writeSucceeded(RowVersion version) noexcept
{
    m_isCallPending = false;
    m_version = version;
    m_holder.renewalSucceeded(version);
}

void Leadership::writeFailed() noexcept
{
    m_isCallPending = false;
    m_needsRead = true;
    m_lastRead.reset();
    m_holder.renewalFailed();
}

bool Leadership::isLeader(TimePoint now) const noexcept
{
    return ownsRecord() && !m_isReleasing && m_holder.isValid(now);
}

bool Leadership::maySendOrders(TimePoint now) const noexcept
{
    return isLeader(now) && now >= m_ordersAllowedAt;
}

} // namespace bluebell
