#include "gateway/requestlog.h"

#include "core/log.h"

#include <fmt/core.h>

#include <algorithm>

namespace bluebell::gateway {
namespace {

std::string toText(const std::optional<RateLimitDetails> &details)
{
    if (!details)
        return {};
    return fmt::format("wanted {}, level {}, daemons heard {} of {}, share {:.3f}, unseen {}, "
                       "count age {} ms",
                       details->requested, details->level, details->liveDaemons, details->daemons,
                       details->share, details->unseen, toMilliseconds(details->countAge).count());
}

std::string_view nameOf(NoticeKind kind)
{
    switch (kind) {
    case NoticeKind::Leaving:
        return "leaving";
    case NoticeKind::HoldOff:
        break;
    }
    return "hold-off";
}

std::string toText(const std::optional<TargetNotice> &notice, TimePoint now)
{
    if (!notice)
        return {};
    return fmt::format("{} {}, age {} ms, started {}", notice->target.value(), nameOf(notice->kind),
                       toMilliseconds(now - notice->at).count(), notice->startTimeMs);
}

/// \returns the time from `from` to `to` in milliseconds, or nothing if one of them is unknown
std::string millisecondsBetween(std::optional<TimePoint> from, std::optional<TimePoint> to)
{
    return from && to ? std::to_string(toMilliseconds(*to - *from).count()) : std::string();
}

} // namespace

std::string toText(const std::vector<PromptPartId> &parts)
{
    constexpr std::size_t MaxParts = 16;
    std::string text;
    for (std::size_t n = 0; n < std::min(parts.size(), MaxParts); ++n)
        text += (n == 0 ? "" : ",") + parts[n].value();
    return text;
}

void recordFailedAttempt(const RequestContext &it, const Attempt &attempt, const Error &error,
                         Metrics &metrics)
{
    const auto now = BootClock::now();
    const auto &progress = attempt.progress;
    metrics.count("bluebell_failed_attempts_total",
                  { it.organisation, ClassId(it.route ? it.route->name : std::string()), {} });
    log::warning("attempt failed",
                 { { "request", it.caller.attempt.value() },
                   { "target", attempt.target.value() },
                   { "start_time_ms", std::to_string(attempt.startTimeMs) },
                   { "cause", error.message },
                   { "sent_ago_ms", millisecondsBetween(progress.sentAt, now) },
                   { "head_ago_ms", millisecondsBetween(progress.headAt, now) },
                   { "first_event_ago_ms", millisecondsBetween(progress.firstChunkAt, now) },
                   { "last_event_ago_ms", millisecondsBetween(progress.lastChunkAt, now) },
                   { "prompt_parts", toText(it.caller.sharedParts) } });
}

void recordWithheldResponse(const RequestContext &it, const Attempt &attempt,
                            const ResponseHead &head, const Error &error, Metrics &metrics)
{
    const auto status = std::to_string(head.status);
    metrics.count("bluebell_withheld_responses_total",
                  { it.organisation, ClassId(it.route->name), status });
    log::warning("response of a target withheld: its status promises that nothing ran",
                 { { "request", it.caller.attempt.value() },
                   { "target", attempt.target.value() },
                   { "start_time_ms", std::to_string(attempt.startTimeMs) },
                   { "route", it.route->name },
                   { "target_status", status },
                   { "status", std::to_string(httpStatus(error)) } });
}

void noteChunk(RequestContext &it, Metrics &metrics)
{
    const auto now = BootClock::now();
    const MetricLabels labels { it.organisation, ClassId(it.route->name), {} };
    if (it.lastChunkAt) {
        it.longestGap = std::max(it.longestGap, now - *it.lastChunkAt);
        metrics.observe("bluebell_event_gap_seconds", labels, now - *it.lastChunkAt);
    } else {
        it.firstChunkAt = now;
        metrics.observe("bluebell_first_event_seconds", labels, now - it.receivedAt);
    }
    it.lastChunkAt = now;
}

void recordOutcome(const RequestContext &it, const Result<void> &result, Delivery delivery,
                   Metrics &metrics)
{
    const auto outcome =
            result ? std::string("answered") : std::string(toString(result.error().code));
    const auto now = BootClock::now();
    const auto duration = now - it.receivedAt;
    const MetricLabels labels { it.organisation, ClassId(it.route ? it.route->name : std::string()),
                                outcome };
    metrics.count("bluebell_requests_total", labels);
    metrics.observe("bluebell_request_seconds", labels, duration);
    metrics.observe("bluebell_target_wait_seconds", labels, it.waited);
    if (delivery != Delivery::Complete)
        metrics.count("bluebell_incomplete_responses_total",
                      { it.organisation, labels.classId, std::string(toString(delivery)) });
    log::info("request",
              { { "request", it.caller.attempt.value() },
                { "organisation", it.organisation.value() },
                { "route", it.route ? it.route->name : std::string() },
                { "replica", it.caller.replica ? toString(*it.caller.replica) : std::string() },
                { "target", it.latest.target.value() },
                { "sends", std::to_string(it.sends) },
                { "runs", std::to_string(it.runs) },
                { "refused_full", std::to_string(it.refusalsFull) },
                { "refused_not_resident", std::to_string(it.refusalsNotResident) },
                { "waited_ms", std::to_string(toMilliseconds(it.waited).count()) },
                { "first_event_ms", millisecondsBetween(it.receivedAt, it.firstChunkAt) },
                { "longest_gap_ms", std::to_string(toMilliseconds(it.longestGap).count()) },
                { "config", std::to_string(it.index ? it.index->version() : 0) },
                { "outcome", outcome },
                { "cause", result ? std::string() : result.error().message },
                { "delivery", std::string(toString(delivery)) },
                { "rate", toText(it.rateDetails) },
                { "target_notice", toText(it.notice, now) },
                { "execution",
                  result ? std::string() : std::string(toString(result.error().execution)) },
                { "retry_after_ms",
                  !result && result.error().retryAfter
                          ? std::to_string(toMilliseconds(*result.error().retryAfter).count())
                          : std::string() },
                { "ms", std::to_string(toMilliseconds(duration).count()) } });
}

} // namespace bluebell::gateway
