#pragma once

#include "core/endpoint.h"
#include "core/result.h"
#include "core/time.h"

#include <string>
#include <string_view>
#include <vector>

/// \file
/// HTTP messages, apart from the library that reads and writes them.

namespace bluebell {

struct HttpHeader
{
    std::string name;
    std::string value;
};

struct HttpRequest
{
    std::string method;
    /// Path with query.
    std::string path;
    std::vector<HttpHeader> headers;
    std::string body;

    /// \returns the value of the header `name`, compared without case, or an empty view
    [[nodiscard]] std::string_view header(std::string_view name) const;
};

struct HttpResponse
{
    unsigned status = 200;
    std::string contentType = "application/json";
    std::vector<HttpHeader> headers;
    std::string body;

    [[nodiscard]] std::string_view header(std::string_view name) const;
};

/// A request to send, with where to and how long it may take.
struct HttpCall
{
    Endpoint endpoint;
    HttpRequest request;
    Duration timeout = std::chrono::seconds(5);
};

} // namespace bluebell
