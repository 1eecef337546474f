#include "core/endpoint.h"

#include <arpa/inet.h>

#include <charconv>

namespace bluebell {

Result<Endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return makeError(ErrorCode::InvalidArgument, "an address must have the form HOST:PORT");
    Endpoint endpoint { std::string(text.substr(0, colon)), 0 };
    in_addr address {};
    if (inet_pton(AF_INET, endpoint.host.c_str(), &address) != 1)
        return makeError(ErrorCode::InvalidArgument,
                         "'" + endpoint.host + "' is not a numeric IPv4 address");
    const auto port = text.substr(colon + 1);
    const auto *end = port.data() + port.size();
    if (const auto [it, ec] = std::from_chars(port.data(), end, endpoint.port);
        ec != std::errc {} || it != end)
        return makeError(ErrorCode::InvalidArgument,
                         "'" + std::string(port) + "' is not a port from 0 to 65535");
    return endpoint;
}

std::string toString(const Endpoint &endpoint)
{
    return endpoint.host + ':' + std::to_string(endpoint.port);
}

} // namespace bluebell
