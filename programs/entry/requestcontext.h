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
/// What the entry knows of one request on its way through the filters.

namespace bluebell::entry {

/// A chat completion as it was asked for.
struct ChatRequest
{
    ReplicaKey replica;
    std::string prompt;
    Tokens promptTokens = 0;
    Tokens mostTokens = 0;
    bool streams = false;
};

/// A reservation of tokens that has to be settled.
struct RateReservation
{
    std::uint8_t source = 0;
    ReservationId id = 0;
    Tokens tokens = 0;
};

/// One request. The caller's key is kept as a digest only.
struct RequestContext
{
    RequestId id;
    TimePoint arrival;
    TimePoint deadline;
    KeyDigest key;
    OrganisationId organisation;
    ClassRule classRule;
    std::optional<ChatRequest> chat;
    const RouteRule *route = nullptr;
    /// Keeps `route` alive.
    std::shared_ptr<const void> rules;
    /// Upper bound of the tokens that the request can use.
    Tokens tokens = 0;
    std::optional<RateReservation> reservation;
};

/// A step that lets a request pass or refuses it.
using Filter = std::function<boost::asio::awaitable<Result<void>>(RequestContext &)>;

/// Runs filters in order until one refuses.
[[nodiscard]] boost::asio::awaitable<Result<void>> runFilters(const std::vector<Filter> &filters,
                                                              RequestContext &context);

} // namespace bluebell::entry
