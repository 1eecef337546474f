#pragma once

#include "core/result.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

/// \file
/// Network endpoints.

namespace bluebell {

/// An IP address and a port.
struct Endpoint
{
    std::string host;
    std::uint16_t port = 0;

    friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
};

/// Parses `HOST:PORT`, where the host is a numeric IPv4 address.
///
/// \returns the endpoint, or InvalidArgument with the cause
[[nodiscard]] Result<Endpoint> parseEndpoint(std::string_view text);

/// \returns `HOST:PORT`
[[nodiscard]] std::string toString(const Endpoint &endpoint);

} // namespace bluebell
