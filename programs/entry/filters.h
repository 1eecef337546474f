#pragma once

#include "entry/configview.h"
#include "entry/rategate.h"
#include "entry/requestcontext.h"

/// \file
/// The filters that every request passes.

namespace bluebell::entry {

/// Finds the organisation of the caller's key, unless the route is open to all.
[[nodiscard]] Filter makeIdentityFilter(const ConfigView &config);

/// Checks that the organisation may call the model and adapter.
[[nodiscard]] Filter makePermissionFilter(const ConfigView &config);

/// Reserves the request's tokens.
[[nodiscard]] Filter makeRateFilter(RateGate &gate);

/// Reads the chat request of a body.
///
/// \returns InvalidArgument with the field that is wrong
[[nodiscard]] Result<ChatRequest> parseChat(const std::string &body);

/// \returns the digest of the key in an `Authorization: Bearer` header; empty without one
[[nodiscard]] KeyDigest keyOf(const HttpRequest &request);

} // namespace bluebell::entry
