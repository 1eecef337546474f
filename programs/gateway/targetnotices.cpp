#include "gateway/targetnotices.h"

#include "core/log.h"

namespace bluebell::gateway {

namespace {

void applyLeaving(GatewayState &state, const TargetId &target, std::uint64_t startTimeMs,
                  TimePoint now)
{
    if (!state.registry.noteLeaving(target, startTimeMs, now))
        return;
    log::info("target is leaving",
              { { "target", target.value() }, { "start_time_ms", std::to_string(startTimeMs) } });
    state.metrics.count("bluebell_targets_leaving_total", {});
    state.stateChanged.notify();
}

void applyHoldOff(GatewayState &state, const TargetId &target, std::uint64_t startTimeMs,
                  Duration length, TimePoint now)
{
    const bool isAccepted = state.selector.noteHoldOff(target, startTimeMs, length, now);
    log::info(isAccepted ? "target asks for a hold-off" : "hold-off of a target cut",
              { { "target", target.value() },
                { "start_time_ms", std::to_string(startTimeMs) },
                { "ms", std::to_string(toMilliseconds(length).count()) } });
    state.metrics.count("bluebell_target_retry_after_total", {});
    if (!isAccepted)
        state.metrics.count("bluebell_target_retry_after_invalid_total", {});
}

} // namespace

void applyNotices(GatewayState &state, const TargetId &target, std::uint64_t startTimeMs,
                  const TargetNotices &notices, TimePoint now)
{
    if (notices.isLeaving)
        applyLeaving(state, target, startTimeMs, now);
    if (notices.holdOff)
        applyHoldOff(state, target, startTimeMs, *notices.holdOff, now);
    if (notices.hasInvalidHoldOff) {
        log::warning("invalid hold-off of a target ignored", { { "target", target.value() } });
        state.metrics.count("bluebell_target_retry_after_invalid_total", {});
    }
}

void applyNotices(GatewayState &state, RequestContext &it, const Attempt &attempt,
                  const TargetNotices &notices, TimePoint now)
{
    applyNotices(state, attempt.target, attempt.startTimeMs, notices, now);
    if (!notices.isLeaving && !notices.holdOff)
        return;
    it.notice = TargetNotice { notices.isLeaving ? NoticeKind::Leaving : NoticeKind::HoldOff,
                               attempt.target, attempt.startTimeMs, now };
}

} // namespace bluebell::gateway
