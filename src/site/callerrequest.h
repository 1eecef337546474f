#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "placement/ledger.h"
#include "rules/rule.h"

#include <optional>
#include <string>
#include <vector>

/// \file
/// A caller's request to a gateway, independent of the platform's header names.

namespace bluebell {

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

} // namespace bluebell
