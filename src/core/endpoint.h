#pragma once

#include "core/result.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

/// \file
/// TCP addresses.

namespace bluebell {

/// An IP address and a TCP port.
struct Endpoint
{
    std::string host;
    std::uint16_t port = 0;

    friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
};

/// Reads `HOST:PORT` with a numeric IPv4 host.
///
/// \returns the endpoint, or InvalidArgument with what is wrong
[[nodiscard]] Result<Endpoint> parseEndpoint(std::string_view text);

/// \returns `HOST:PORT`
[[nodiscard]] std::string toString(const Endpoint &endpoint);

} // namespace bluebell
