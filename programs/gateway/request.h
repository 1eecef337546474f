#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "placement/ledger.h"
#include "rules/rule.h"

#include <optional>
#include <string>

/// \file
/// A caller's request as the gateway sees it, apart from the names of its headers.

namespace bluebell::gateway {

struct CallerRequest
{
    /// Id of the caller's attempt; targets repeat it in their answers.
    RequestId attempt;
    /// Host without a port.
    std::string host;
    /// Path with query.
    std::string path;
    /// The bearer key; empty when there is none.
    std::string key;
    /// How long the caller waits, if it told.
    std::optional<Duration> timeLeft;
    /// The model and adapter asked for, if any.
    std::optional<ReplicaKey> replica;
    /// Tokens of the prompt and most tokens of the answer, if told.
    std::optional<Tokens> tokens;
    /// The caller goes on with a stream after this event.
    std::string lastEvent;
};

/// What the gateway adds to a request on its way to a target.
struct ForwardDetails
{
    TargetId target;
    Duration timeLeft {};
    /// Empty on open routes.
    OrganisationId organisation;
    int priority = 5;
    /// The stream goes on after this event; empty for the whole answer.
    std::string lastEvent;
};

/// What the head of an answer says of the target and the run.
struct AnswerHead
{
    unsigned status = 0;
    /// Whether the answer belongs to the attempt that was sent.
    bool isOwn = false;
    /// Whether the target has signed it, as it signs all answers of its own.
    bool isSigned = false;
    /// The target says that the request did not run.
    bool isNotRun = false;
    /// Another target has the address, or the model is not there.
    bool isMisdirected = false;
    /// The bytes are not the target's own, because they are encoded.
    bool isEncoded = false;

    [[nodiscard]] bool isSuccess() const noexcept { return status >= 200 && status < 300; }
};

} // namespace bluebell::gateway
