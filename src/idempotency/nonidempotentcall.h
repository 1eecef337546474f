#pragma once

#include "core/ids.h"
#include "core/result.h"
#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>

/// \file
/// At-most-once execution of non-idempotent calls by idempotency keys.

namespace bluebell {

/// The response of a target, as recorded and replayed to repeated calls.
struct RecordedResponse
{
    unsigned status = 0;
    std::string contentType;
    std::string body;
};

/// State of an idempotency key.
enum class IdempotencyState : std::uint8_t {
    /// A daemon is about to dispatch the call, is dispatching it, or crashed meanwhile.
    Claimed,
    /// The response is recorded.
    Done,
    /// The call was dispatched, but its outcome could not be determined.
    Unknown,
};

/// The stored record of one idempotency key.
struct IdempotencyRecord
{
    IdempotencyState state = IdempotencyState::Claimed;
    /// SHA-256 of method, path and body of the call with this key.
    std::string requestDigest;
    /// Id of the transaction that claimed the key.
    ChangeId claim;
    /// Set in state Done.
    std::optional<RecordedResponse> response;
};

// Outcomes of a dispatch.

/// The call did not reach a target.
struct NotStarted
{
    Error cause;
};
/// The target responded, and did not state that the call was not executed.
struct Completed
{
    RecordedResponse response;
};
/// The call may have reached a target, but no response arrived.
struct Unresolved
{
    Error cause;
};
using DispatchOutcome = std::variant<NotStarted, Completed, Unresolved>;

// Actions that the user of NonIdempotentCall carries out.

/// Insert the claim if the key has no record.
struct InsertClaim
{
};
/// Send the call to a target, once, on a new connection.
struct Dispatch
{
};
/// Delete the record if it still contains this claim.
struct ReleaseClaim
{
};
/// Replace the claim by `record` if it is still stored.
struct WriteRecord
{
    IdempotencyRecord record;
};
/// Send the reply to the caller; this is the last action.
struct Reply
{
    Result<RecordedResponse> response;
};
using CallAction = std::variant<InsertClaim, Dispatch, ReleaseClaim, WriteRecord, Reply>;

/// State machine of one non-idempotent call, which is dispatched at most once.
///
/// The claim on the idempotency key is committed before the first byte of the call is sent, and
/// only the instance that made a claim dispatches its call. Once the claim is committed,
/// Execution::NotRun is reported only after the claim has been released. A response whose status
/// promises that nothing ran is recorded, but its callers get OutcomeUnknown in its place.
class NonIdempotentCall
{
public:
    /// \param requestDigest digest of the call; see IdempotencyRecord::requestDigest
    /// \param claim id of the transaction that inserts the claim
    /// \param deadline time from which the call is no longer dispatched
    NonIdempotentCall(std::string requestDigest, ChangeId claim, TimePoint deadline);

    // Events; each returns the next action.

    [[nodiscard]] CallAction start() const;
    [[nodiscard]] CallAction claimInserted(TimePoint now);
    /// The key already has a record.
    ///
    /// \param holderMayBeRunning whether the claim is recent enough for its call to be still
    /// running
    [[nodiscard]] CallAction claimExists(const IdempotencyRecord &record,
                                         bool holderMayBeRunning) const;
    /// The claim was not committed, or its outcome is unknown.
    [[nodiscard]] CallAction claimFailed(const Error &cause);
    [[nodiscard]] CallAction dispatched(DispatchOutcome outcome);
    /// ReleaseClaim was carried out, or failed.
    [[nodiscard]] CallAction released(bool succeeded) const;
    /// The record was written, or the write failed; the caller gets its reply in either case.
    [[nodiscard]] CallAction recorded() const;

    [[nodiscard]] const std::string &requestDigest() const noexcept { return m_requestDigest; }
    [[nodiscard]] const ChangeId &claim() const noexcept { return m_claim; }

private:
    [[nodiscard]] IdempotencyRecord record(IdempotencyState state) const;

    std::string m_requestDigest;
    ChangeId m_claim;
    TimePoint m_deadline;
    /// The reply to send after the last write.
    std::optional<Result<RecordedResponse>> m_reply;
    bool m_isDispatched = false;
    /// Whether the claim is known to be stored.
    bool m_isClaimed = false;
};

/// Determines whether the calls of claims made by other daemons may still be running.
///
/// The age of a claim counts from when this daemon first read it, so that clocks of different VMs
/// are never compared.
class ClaimTracker
{
public:
    /// \param maxRunTime the longest time from a claim to its last write
    explicit ClaimTracker(Duration maxRunTime) : m_maxRunTime(maxRunTime) { }

    /// \returns whether the call under `claim` may still be running
    [[nodiscard]] bool holderMayBeRunning(const ChangeId &claim, TimePoint now);

private:
    Duration m_maxRunTime;
    /// When each claim was first read.
    std::map<ChangeId, TimePoint> m_firstSeen;
};

} // namespace bluebell
