#pragma once

#include "gateway/requestcontext.h"
#include "metrics/metrics.h"
#include "site/targetresponse.h"

/// \file
/// Log lines and metrics of callers' requests.

namespace bluebell::gateway {

/// \returns the ids, separated by commas, cut to a readable number
[[nodiscard]] std::string toText(const std::vector<PromptPartId> &parts);

/// Records the time to the first chunk of a stream, or the gap since the previous chunk.
void noteChunk(RequestContext &it, Metrics &metrics);

/// Writes metrics and the log line of an attempt that may have run and has brought no valid
/// response.
void recordFailedAttempt(const RequestContext &it, const Attempt &attempt, const Error &error,
                         Metrics &metrics);

/// Writes metrics and the log line of a target's response that its caller does not get.
///
/// \param error what the caller gets in its place
void recordWithheldResponse(const RequestContext &it, const Attempt &attempt,
                            const ResponseHead &head, const Error &error, Metrics &metrics);

/// Writes metrics and the log line of a finished request.
void recordOutcome(const RequestContext &it, const Result<void> &result, Delivery delivery,
                   Metrics &metrics);

} // namespace bluebell::gateway
