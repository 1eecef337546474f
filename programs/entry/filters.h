#pragma once

#include "entry/configview.h"
#include "entry/ratelimiter.h"
#include "entry/requestcontext.h"

/// \file
/// The filters that every chat and service request passes.

namespace bluebell::entry {

/// Authenticates the caller's key and sets the organisation, its class and the deadline.
///
/// A request without a key passes if its route allows anonymous calls.
[[nodiscard]] Filter makeAuthenticationFilter(const ConfigView &config);

/// Checks that the organisation may call the model and adapter of a chat request.
[[nodiscard]] Filter makeAuthorisationFilter(const ConfigView &config);

/// Reserves the request's tokens from the rate of its organisation.
[[nodiscard]] Filter makeRateFilter(RateLimiter &rateLimiter);

/// Parses the JSON body of a chat completion request.
///
/// \returns the request, or InvalidArgument with the field that is wrong
[[nodiscard]] Result<ChatRequest> parseChat(const std::string &body);

/// \returns the digest of the key in an `Authorization: Bearer` header; empty if there is none
[[nodiscard]] KeyDigest bearerKeyDigest(const HttpRequest &request);

} // namespace bluebell::entry
