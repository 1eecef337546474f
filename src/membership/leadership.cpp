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
    return m_record && m_record->incarnation == m_incarnation && !m_record->isReleased
            && !isRecordOutdated();
}

bool Leadership::isRecordOutdated() const
{
    if (!m_era)
        return false;
    if (m_record)
        return m_record->epoch < firstEpochOf(*m_era);
    return m_hasEraChanged || (*m_era > 0 && !m_settings.isFirstStart);
}

void Leadership::startEra(StoreEra era, TimePoint now)
{
    // No other daemon has sent an order while this lease was valid, nor will one before the row has
    // been observed for longer than that.
    m_reclaimUntil = isLeader(now) ? m_holder.validUntil() : std::nullopt;
    m_hasEraChanged = m_era.has_value();
    m_era = era;
    m_observer = LeaseObserver(m_settings.lease);
    m_versionSince = now;
}

bool Leadership::mayClaim(TimePoint now) const
{
    if (m_isReleasing || !m_hasRead)
        return false;
    if (isRecordOutdated())
        return (m_reclaimUntil && now < *m_reclaimUntil) || m_observer.hasExpired(now);
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
                               StoreEra era, TimePoint now)
{
    m_isCallPending = false;
    // A response that was sent in an earlier era is late.
    if (m_era && era < *m_era)
        return;
    m_needsRead = false;
    if (era != m_era)
        startEra(era, now);
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
    const bool isReclaiming = isRecordOutdated() && m_reclaimUntil && now < *m_reclaimUntil;
    if (ownsRecord() || isReclaiming)
        return std::max(m_ordersAllowedAt - now, Duration::zero());
    if (!isRecordOutdated()) {
        if (!m_record)
            return Duration::zero();
        if (m_record->vm == m_vm || m_record->isReleased)
            return std::max(m_versionSince + m_record->takeoverDelayLeft - now, Duration::zero());
    }
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
    const auto lastEpoch = m_record ? m_record->epoch : Epoch(0);
    it.epoch = ownsRecord() ? lastEpoch : std::max(lastEpoch, firstEpochOf(m_era.value_or(0))) + 1;
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
    // The lease of a former epoch does not cover a new one that the store has not confirmed.
    if (!ownsRecord())
        m_holder = LeaseHolder(m_settings.lease);
    m_holder.renewalSent(now);
    m_record = sent;
    m_epoch = sent.epoch;
}

void Leadership::writeSucceeded(RowVersion version) noexcept
{
    // Without a row there was no version by which the store could notice a new era.
    if (m_era && eraOf(version) != *m_era) {
        writeFailed();
        return;
    }
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
