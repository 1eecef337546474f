#pragma once

#include "core/endpoint.h"
#include "core/result.h"
#include "core/time.h"

#include <functional>
#include <map>
#include <memory>
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
    /// Empty when `headers` holds the content type or there is none.
    std::string contentType = "application/json";
    std::vector<HttpHeader> headers;
    std::string body;

    [[nodiscard]] std::string_view header(std::string_view name) const;
};

/// Ends work that nobody waits for any more, such as a call whose caller has gone.
class CancelSource
{
public:
    using Registration = std::uint64_t;

    /// Calls `action` at cancel(), or at once when that has happened.
    Registration add(std::function<void()> action);
    void remove(Registration registration);
    /// Runs all actions, once.
    void cancel();

    [[nodiscard]] bool isCancelled() const noexcept { return m_isCancelled; }

private:
    std::map<Registration, std::function<void()>> m_actions;
    Registration m_next = 1;
    bool m_isCancelled = false;
};

/// A request to send, with where to and how long it may take.
struct HttpCall
{
    Endpoint endpoint;
    HttpRequest request;
    /// From the established connection to the head of the response; at most this for connecting.
    Duration timeout = std::chrono::seconds(5);
    /// The longest time to establish the connection.
    Duration connectTimeout = std::chrono::seconds(5);
    /// Closes the connection when it is cancelled; may be null.
    std::shared_ptr<CancelSource> cancel = nullptr;
};

} // namespace bluebell
