#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "placement/ledger.h"
#include "rules/rule.h"

#include <optional>
#include <string>
#include <vector>

/// \file
/// A caller's request and a target's response, independent of the platform's header names.

namespace bluebell::gateway {

struct CallerRequest
{
    /// Id of the caller's attempt; targets echo it in their responses.
    RequestId attempt;
    /// Host without the port.
    std::string host;
    /// Path with the query.
    std::string path;
    /// Bearer key, or empty.
    std::string key;
    /// Time that the caller waits for the response, if given.
    std::optional<Duration> timeLeft;
    /// Requested model and adapter, if any.
    std::optional<ReplicaKey> replica;
    /// Prompt tokens plus maximum response tokens, if given.
    std::optional<Tokens> tokens;
    /// The parts of the prompt that other requests may share, in order. The last part, which
    /// belongs to the request or its session alone, is left out.
    std::vector<PromptPartId> sharedParts;
    /// Id of the event after which the caller resumes a stream, or empty.
    std::string lastEventId;
};

/// Values that the gateway adds to a request that it forwards.
struct ForwardDetails
{
    TargetId target;
    Duration timeLeft {};
    /// Empty on routes that need no key.
    OrganisationId organisation;
    int priority = 5;
    /// Id of the event after which the stream resumes; empty for the complete response.
    std::string lastEventId;
};

/// What a target states of itself in the head of any response.
struct TargetNotices
{
    /// Whether the target is leaving and must get no new request.
    bool isLeaving = false;
    /// Time for which the target asks this daemon to send it nothing.
    std::optional<Duration> holdOff;
    /// Whether it states a time that is no valid one.
    bool hasInvalidHoldOff = false;
};

/// Properties of a response that can be read from its head.
struct ResponseHead
{
    unsigned status = 0;
    /// Whether the response carries the id of the attempt that was sent.
    bool matchesAttempt = false;
    /// Whether the response carries the id of another attempt, so that it says nothing of this one.
    bool namesOtherAttempt = false;
    /// Whether the response carries the target's signature, as every response of a target does.
    bool isSigned = false;
    /// Whether the target states that it did not execute the request.
    bool isNotRun = false;
    /// Whether another target has the address, or the target does not hold the model.
    bool isMisdirected = false;
    /// Whether the body has a content encoding, which targets do not use.
    bool isEncoded = false;
    TargetNotices notices;

    [[nodiscard]] bool isSuccess() const noexcept { return status >= 200 && status < 300; }
};

} // namespace bluebell::gateway
