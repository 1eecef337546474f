#include "gateway/requestadmission.h"

#include "core/digest.h"
#include "core/log.h"
#include "gateway/requestlog.h"
#include "rate/usefulreturn.h"

#include <algorithm>
#include <utility>

namespace bluebell::gateway {
namespace {

using std::chrono::milliseconds;

/// Subtracted from the caller's time left, so that a whole response arrives before its timeout. The
/// events of a stream arrive as they are made.
constexpr Duration DeadlineMargin = milliseconds(20);

/// \returns the priority that a request of its organisation has on its route
int priorityOf(const RequestContext &it, const SiteIndex &index)
{
    const auto *organisation = index.findOrganisation(it.organisation);
    const auto own = organisation ? organisation->priority : std::nullopt;
    return own.value_or(it.route->priority);
}

} // namespace

Result<void> RequestAdmission::resolve(RequestContext &it) const
{
    it.index = m_state.index;
    if (!it.index)
        return notRun(ErrorCode::Unavailable, "no configuration is known yet", milliseconds(300));
    it.route = it.index->findRoute(it.caller.host, it.caller.path);
    if (!it.route)
        return makeError(ErrorCode::NotFound, "no route for this host and path");
    if (it.index->hasOrganisations() && !it.route->allowsAnonymous) {
        const auto *organisation = it.index->findOrganisation(it.caller.key);
        if (it.caller.key.empty() || !organisation)
            return makeError(ErrorCode::Unauthenticated, "the key is not known");
        it.organisation = organisation->name;
    }
    it.priority = priorityOf(it, *it.index);
    const auto *name = chooseService(*it.route, stableHash(it.caller.attempt.value()));
    it.service = name ? it.index->findService(*name) : nullptr;
    if (!it.service)
        return notRun(ErrorCode::Unavailable, "the route has no service", std::chrono::seconds(1));
    if (it.service->engine && it.caller.replica
        && !it.service->engine->models.contains(it.caller.replica->model))
        return makeError(ErrorCode::NotFound, "the service does not serve this model");
    it.deadline = it.receivedAt + it.route->timeout;
    if (it.caller.timeLeft) {
        const bool isStream = it.route->kind == RequestKind::Streaming;
        const auto margin = isStream ? Duration::zero() : DeadlineMargin;
        it.deadline = std::min(it.deadline, it.receivedAt + *it.caller.timeLeft - margin);
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> RequestAdmission::checkQuarantine(RequestContext &it)
{
    const auto now = BootClock::now();
    const auto quarantined = m_state.quarantine.find(it.caller.sharedParts, now);
    if (!quarantined || it.isTrial || quarantined->mayBeSound)
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    const auto &part = quarantined->part;
    it.isTrial = m_state.leadership.isLeader(now) && m_state.quarantine.startTrial(part, now);
    if (it.isTrial)
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    // A caller that is told to come again shortly finds out whether the quarantine stands.
    return notRun(quarantined->isProvisional ? ErrorCode::Unavailable : ErrorCode::InvalidArgument,
                  "the prompt's part " + part.value() + " is refused because it crashes targets",
                  quarantined->retryAfter);
}

bool RequestAdmission::startTrial(RequestContext &it, TimePoint now)
{
    const auto &parts = it.caller.sharedParts;
    if (it.isTrial || !m_state.quarantine.needsTrial(parts))
        return true;
    it.isTrial = m_state.quarantine.startTrialOf(parts, m_state.trialTurn(), now);
    if (!it.isTrial)
        return false;
    m_state.metrics.count("bluebell_quarantine_trials_total", {});
    log::info("trial of a quarantine",
              { { "request", it.caller.attempt.value() }, { "prompt_parts", toText(parts) } });
    return true;
}

Result<void> RequestAdmission::reserveRate(RequestContext &it)
{
    if (it.organisation.isEmpty())
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    const auto *organisation = m_state.index->findOrganisation(it.organisation);
    if (!organisation || !organisation->limit)
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    const auto now = BootClock::now();
    const auto tokens =
            organisation->countsTokens ? it.caller.tokens.value_or(organisation->defaultTokens) : 1;
    auto &rate = m_state.rateOf(*organisation, now);
    const auto liveDaemons = m_state.daemonsHeard(now);
    rate.setDaemonCounts(m_state.fleet.size(), liveDaemons, now);
    if (const auto wait = rate.admit(tokens, now, it.priority)) {
        const auto bucket = rate.state(now);
        it.rateDetails =
                RateLimitDetails { tokens,       bucket.level,  m_state.fleet.size(), liveDaemons,
                                   bucket.share, bucket.unseen, bucket.countAge };
        const MetricLabels labels { it.organisation, ClassId(it.route->name), {} };
        m_state.metrics.count("bluebell_rate_refusals_total", labels);
        m_state.metrics.observe("bluebell_rate_count_age_seconds", labels, bucket.countAge);
        return notRun(
                ErrorCode::RateLimited, "the organisation's rate is used up",
                usefulReturn(*wait, it.route->latencyGoal, stableHash(it.caller.attempt.value())));
    }
    it.reserved = tokens;
    it.runsBeforeReservation = it.runs;
    if (rate.isLow(now)) {
        m_state.statusDue.notify();
        m_state.reportDue.notify();
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

bool RequestAdmission::isKeyHeld(const RequestContext &it) const
{
    if (it.organisation.isEmpty() || m_state.index->findOrganisation(it.caller.key))
        return true;
    const auto *route = m_state.index->findRoute(it.caller.host, it.caller.path);
    return !m_state.index->hasOrganisations() || (route && route->allowsAnonymous);
}

Result<void> RequestAdmission::renewOrganisation(RequestContext &it)
{
    if (it.organisation.isEmpty())
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    const auto *holder = m_state.index->findOrganisation(it.caller.key);
    const auto name = holder ? holder->name : OrganisationId();
    if (name == it.organisation || !isKeyHeld(it))
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    log::info("key of a request held by another organisation",
              { { "request", it.caller.attempt.value() },
                { "organisation", name.value() },
                { "before", it.organisation.value() },
                { "config", std::to_string(m_state.index->version()) },
                { "sends", std::to_string(it.sends) } });
    // An attempt that is under way may run.
    if (it.latest.isCounted)
        it.reserved = 0;
    refundRate(it);
    it.organisation = name;
    it.priority = priorityOf(it, *m_state.index);
    return reserveRate(it);
}

void RequestAdmission::refundRate(RequestContext &it)
{
    const auto tokens = std::exchange(it.reserved, 0);
    if (tokens == 0 || it.runs > it.runsBeforeReservation)
        return;
    const auto rate = m_state.rates.find(it.organisation);
    if (rate != m_state.rates.end())
        rate->second.refund(tokens);
}

} // namespace bluebell::gateway
