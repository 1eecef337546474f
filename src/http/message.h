#pragma once

#include "core/endpoint.h"
#include "core/memorybudget.h"
#include "core/result.h"
#include "core/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// HTTP messages, independent of the library that parses and serialises them.

namespace bluebell {

struct HttpHeader
{
    std::string name;
    std::string value;
};

struct HttpRequest
{
    std::string method;
    /// Path including the query string.
    std::string path;
    std::vector<HttpHeader> headers;
    std::string body;

    /// \returns the value of the first header `name` (case-insensitive), or an empty view
    [[nodiscard]] std::string_view header(std::string_view name) const;
};

struct HttpResponse
{
    unsigned status = 200;
    /// Empty when `headers` contains the content type or the response has none.
    std::string contentType = "application/json";
    std::vector<HttpHeader> headers;
    std::string body;

    /// \returns the value of the first header `name` (case-insensitive), or an empty view
    [[nodiscard]] std::string_view header(std::string_view name) const;
};

/// Cancels work whose result is no longer needed, such as a call whose caller has disconnected.
class CancelSource
{
public:
    using Registration = std::uint64_t;

    /// Registers `action` to run on cancel(); runs it immediately if already cancelled.
    Registration add(std::function<void()> action);
    /// Removes a registered action; does nothing if it has run or is unknown.
    void remove(Registration registration);
    /// Runs all registered actions and removes them.
    void cancel();

    [[nodiscard]] bool isCancelled() const noexcept { return m_isCancelled; }

private:
    std::map<Registration, std::function<void()>> m_actions;
    Registration m_nextRegistration = 1;
    bool m_isCancelled = false;
};

/// Decides when to give up a server that sends nothing. Servers that are sound may be silent for a
/// while, so a silence alone does not end an exchange.
struct SilencePolicy
{
    /// Time without a byte after which `tryGiveUp` is called, at first and then repeatedly.
    Duration limit {};
    /// Returns whether to end the exchange; called no more after it has returned true.
    std::function<bool()> tryGiveUp;
    /// Called when bytes arrive after `tryGiveUp` has been called; may be empty.
    std::function<void()> noteEndOfSilence = nullptr;
};

/// A request with its destination and timeouts.
struct HttpCall
{
    Endpoint endpoint;
    HttpRequest request;
    /// Maximum time from the established connection to the response headers; also bounds
    /// connecting.
    Duration timeout = std::chrono::seconds(5);
    /// Applies to the time from the established connection to the response headers, if given.
    std::optional<SilencePolicy> silence = std::nullopt;
    /// Maximum time to establish the connection.
    Duration connectTimeout = std::chrono::seconds(5);
    /// Headers that exchange() keeps in the response.
    std::vector<std::string> keptHeaders = { "Execution", "Retry-After" };
    /// Maximum size of the response's body.
    std::uint64_t bodyLimit = std::uint64_t(16) << 20U;
    /// Bounds the bytes that exchange() holds of the bodies of several responses; may be null.
    std::shared_ptr<MemoryBudget> memory = nullptr;
    /// Closes the connection when triggered; may be null.
    std::shared_ptr<CancelSource> cancel = nullptr;
    /// Sent instead of the body of `request`, so that a body that was received is not held twice;
    /// null for none.
    std::shared_ptr<const std::string> sharedBody = nullptr;
};

} // namespace bluebell
