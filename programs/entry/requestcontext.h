#pragma once

#include "core/ids.h"
#include "core/result.h"
#include "core/time.h"
#include "http/message.h"
#include "placement/ledger.h"
#include "rate/grantholder.h"
#include "rules/rule.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// \file
/// State of one request that passes through the filters.

namespace bluebell::entry {

/// A parsed chat completion request.
struct ChatRequest
{
    ReplicaKey replica;
    std::string prompt;
    /// Estimated from the size of the prompt.
    Tokens promptTokens = 0;
    /// Maximum number of tokens to generate.
    Tokens maxTokens = 0;
    bool isStreaming = false;
};

/// Reserved tokens; must be settled by RateLimiter::settle().
struct RateReservation
{
    /// Number of the grant source: 0 for the home of the rate, n for base share n - 1.
    std::uint8_t source = 0;
    ReservationId id = 0;
    Tokens tokens = 0;
};

/// One request. Only a digest of the caller's key is kept.
struct RequestContext
{
    RequestId id;
    TimePoint arrival;
    TimePoint deadline;
    KeyDigest key;
    OrganisationId organisation;
    ClassRule classRule;
    std::optional<ChatRequest> chat;
    /// Route of a service call; null for a chat request.
    const RouteRule *route = nullptr;
    /// Owns the rules that `route` points into.
    std::shared_ptr<const void> rules;
    /// Upper bound of the tokens that the request can use: prompt plus maximum response.
    Tokens tokens = 0;
    std::optional<RateReservation> reservation;
};

/// Checks a request and may set fields of its context.
///
/// \returns an error to refuse the request
using Filter = std::function<boost::asio::awaitable<Result<void>>(RequestContext &)>;

/// Runs filters in order until one refuses the request.
///
/// \returns the error of that filter
[[nodiscard]] boost::asio::awaitable<Result<void>> runFilters(const std::vector<Filter> &filters,
                                                              RequestContext &context);

} // namespace bluebell::entry
