#include "idempotency/nonidempotentcall.h"

#include <cassert>
#include <utility>

namespace bluebell {
namespace {

/// Number of tracked claims from which old ones are removed.
constexpr std::size_t MaxTrackedClaims = 10'000;

Error notRun(const Error &cause)
{
    Error it = cause;
    it.execution = Execution::NotRun;
    return it;
}

Error outcomeUnknown(const std::string &reason)
{
    return Error { ErrorCode::OutcomeUnknown, reason, Execution::OutcomeUnknown, std::nullopt };
}

/// \returns the reply with a response of a service that has not stated that the call did not run;
/// a status that promises that is no reply to a call that may run once only
Reply replyWith(RecordedResponse response)
{
    if (!promisesNotRun(response.status))
        return Reply { std::move(response) };
    return Reply { outcomeUnknown(
            "the service's response does not tell whether the call was run") };
}

} // namespace

NonIdempotentCall::NonIdempotentCall(std::string requestDigest, ChangeId claim, TimePoint deadline)
    : m_requestDigest(std::move(requestDigest)), m_claim(std::move(claim)), m_deadline(deadline)
{
}

IdempotencyRecord NonIdempotentCall::record(IdempotencyState state) const
{
    return IdempotencyRecord { state, m_requestDigest, m_claim, std::nullopt };
}

CallAction NonIdempotentCall::start() const
{
    return InsertClaim {};
}

CallAction NonIdempotentCall::claimInserted(TimePoint now)
{
    assert(!m_isDispatched);
    m_isClaimed = true;
    if (now >= m_deadline) {
        m_reply = makeError(ErrorCode::DeadlineExceeded,
                            "the deadline passed before the call was sent");
        return ReleaseClaim {};
    }
    m_isDispatched = true;
    return Dispatch {};
}

CallAction NonIdempotentCall::claimExists(const IdempotencyRecord &record,
                                          bool holderMayBeRunning) const
{
    if (record.requestDigest != m_requestDigest)
        return Reply { makeError(ErrorCode::Conflict,
                                 "the idempotency key belongs to a call with another body") };
    if (record.state == IdempotencyState::Done && record.response)
        return replyWith(*record.response);
    if (record.state == IdempotencyState::Claimed && holderMayBeRunning) {
        constexpr Duration RetryAfter = std::chrono::seconds(1);
        return Reply { Error { ErrorCode::StillRunning,
                               "a call with this idempotency key is running",
                               Execution::OutcomeUnknown, RetryAfter } };
    }
    return Reply { outcomeUnknown("a call with this idempotency key was sent, and its outcome "
                                  "could not be learnt") };
}

CallAction NonIdempotentCall::claimFailed(const Error &cause)
{
    assert(!m_isDispatched);
    m_reply = notRun(cause);
    return ReleaseClaim {};
}

CallAction NonIdempotentCall::dispatched(DispatchOutcome outcome)
{
    assert(m_isDispatched);
    if (auto *it = std::get_if<NotStarted>(&outcome)) {
        m_reply = notRun(it->cause);
        return ReleaseClaim {};
    }
    if (auto *it = std::get_if<Completed>(&outcome)) {
        auto done = record(IdempotencyState::Done);
        done.response = it->response;
        m_reply = replyWith(std::move(it->response)).response;
        return WriteRecord { std::move(done) };
    }
    m_reply = outcomeUnknown(std::get<Unresolved>(outcome).cause.message);
    return WriteRecord { record(IdempotencyState::Unknown) };
}

CallAction NonIdempotentCall::released(bool succeeded) const
{
    assert(m_reply);
    if (succeeded || !m_isClaimed)
        return Reply { *m_reply };
    return Reply { outcomeUnknown("the call was not sent, but its idempotency key could not be "
                                  "released; repeats of this key will not run") };
}

CallAction NonIdempotentCall::recorded() const
{
    assert(m_reply);
    return Reply { *m_reply };
}

bool ClaimTracker::holderMayBeRunning(const ChangeId &claim, TimePoint now)
{
    if (m_firstSeen.size() >= MaxTrackedClaims)
        std::erase_if(m_firstSeen,
                      [&](const auto &it) { return now - it.second > 2 * m_maxRunTime; });
    const auto firstSeen = m_firstSeen.try_emplace(claim, now).first->second;
    return now - firstSeen <= m_maxRunTime;
}

} // namespace bluebell
