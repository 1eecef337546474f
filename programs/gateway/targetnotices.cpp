#include "gateway/targetnotices.h"

#include "core/log.h"

namespace bluebell::gateway {

void applyNotices(GatewayState &state, const TargetId &target, std::uint64_t startTimeMs,
                  const TargetNotices &notices, TimePoint now)
{
    if (!notices.isLeaving || !state.registry.noteLeaving(target, startTimeMs, now))
        return;
    log::info("target is leaving",
              { { "target", target.value() }, { "start_time_ms", std::to_string(startTimeMs) } });
    state.metrics.count("bluebell_targets_leaving_total", {});
    state.stateChanged.notify();
}

void applyNotices(GatewayState &state, RequestContext &it, const TargetNotices &notices,
                  TimePoint now)
{
    applyNotices(state, it.lastTarget, it.lastTargetStartTimeMs, notices, now);
    if (notices.isLeaving)
        it.notice =
                TargetNotice { NoticeKind::Leaving, it.lastTarget, it.lastTargetStartTimeMs, now };
}

} // namespace bluebell::gateway
