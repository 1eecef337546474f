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
/// The way of one call that may not be repeated, from its claim to its recorded answer.

namespace bluebell {

/// An answer of a target, as it is recorded and repeated.
struct RecordedAnswer
{
    unsigned status = 0;
    std::string contentType;
    std::string body;
};

enum class OrderState : std::uint8_t {
    /// A daemon may dispatch the call, is doing so, or died while it did.
    Claimed,
    /// The answer is recorded.
    Done,
    /// The daemon that dispatched the call could not learn its outcome.
    Unknown,
};

/// The row of one idempotency key.
struct OrderRecord
{
    OrderState state = OrderState::Claimed;
    /// SHA-256 of method, path and body of the call that the key belongs to.
    std::string requestDigest;
    /// The transaction that made the claim.
    ChangeId claim;
    std::optional<RecordedAnswer> answer;
};

/// What became of a dispatch.
struct NotStarted
{
    Error cause;
};
struct Completed
{
    RecordedAnswer answer;
};
struct Unresolved
{
    Error cause;
};
using DispatchOutcome = std::variant<NotStarted, Completed, Unresolved>;

// What the flow asks its driver to do next.

/// Insert the claim if the row is absent.
struct InsertClaim
{
};
/// Send the call to a target, once, on a new connection.
struct Dispatch
{
};
/// Delete the row if it still holds this claim.
struct ReleaseClaim
{
};
/// Replace the claim by this record if the row still holds the claim.
struct WriteRecord
{
    OrderRecord record;
};
/// Answer the caller; the flow has ended.
struct Reply
{
    Result<RecordedAnswer> answer;
};
using OrderAction = std::variant<InsertClaim, Dispatch, ReleaseClaim, WriteRecord, Reply>;

/// Decides on one call that may not be repeated.
///
/// The claim is committed before the first byte of the call can leave, and a claim is dispatched by
/// the flow that made it, at most once. "Not run" is said after the claim has been released.
class OrderFlow
{
public:
    /// \param requestDigest digest of the call that the key is bound to
    /// \param claim the id of the transaction that makes the claim
    /// \param deadline no dispatch begins after this time
    OrderFlow(std::string requestDigest, ChangeId claim, TimePoint deadline);

    // Events; each returns what to do next.

    [[nodiscard]] OrderAction start() const;
    [[nodiscard]] OrderAction claimInserted(TimePoint now);
    /// \param holderMayRun whether the claim is young enough for its holder to be at work still
    [[nodiscard]] OrderAction claimExists(const OrderRecord &record, bool holderMayRun) const;
    /// The claim was not committed, or it is not known whether it was.
    [[nodiscard]] OrderAction claimFailed(const Error &cause);
    [[nodiscard]] OrderAction dispatched(DispatchOutcome outcome);
    [[nodiscard]] OrderAction released(bool succeeded) const;
    /// The record was written, or the table did not answer in time.
    [[nodiscard]] OrderAction recorded() const;

    [[nodiscard]] const std::string &requestDigest() const noexcept { return m_requestDigest; }
    [[nodiscard]] const ChangeId &claim() const noexcept { return m_claim; }

private:
    [[nodiscard]] OrderRecord record(OrderState state) const;

    std::string m_requestDigest;
    ChangeId m_claim;
    TimePoint m_deadline;
    /// What is said once the last write is through.
    std::optional<Result<RecordedAnswer>> m_reply;
    bool m_isDispatched = false;
    /// Whether the row is known to hold this flow's claim.
    bool m_isClaimed = false;
};

/// Tells claims whose holder may still be at work from those that it must have given up.
///
/// No clock is compared between VMs: a claim counts from the first time that this daemon saw it.
class ClaimWatch
{
public:
    /// \param longestRun the longest time from a claim to its last write
    explicit ClaimWatch(Duration longestRun) : m_longestRun(longestRun) { }

    /// \returns whether the holder of `claim` may still be at work
    [[nodiscard]] bool holderMayRun(const ChangeId &claim, TimePoint now);

private:
    Duration m_longestRun;
    std::map<ChangeId, TimePoint> m_firstSeen;
};

} // namespace bluebell
