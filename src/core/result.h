#pragma once

#include "core/time.h"

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// Error type and result type.

namespace bluebell {

/// Error category that callers can act on.
enum class ErrorCode : std::uint8_t {
    InvalidArgument,
    Unauthenticated,
    PermissionDenied,
    NotFound,
    Conflict,
    PayloadTooLarge,
    RateLimited,
    Overloaded,
    DeadlineExceeded,
    Unavailable,
    /// The caller's key was valid before and has been withdrawn.
    KeyWithdrawn,
    /// Another call with the same idempotency key may still be running.
    StillRunning,
    /// A call may have reached a target, and whether it was executed is not known.
    OutcomeUnknown,
    /// The response ended before it was complete.
    Truncated,
    Internal,
};

/// Whether a target may have executed the request that failed.
enum class Execution : std::uint8_t {
    NotRun,
    Ran,
    OutcomeUnknown,
};

/// An error with a machine-readable code and a message for people.
struct Error
{
    ErrorCode code = ErrorCode::Internal;
    std::string message;
    Execution execution = Execution::NotRun;
    /// Minimum time to wait before a retry can succeed, if known.
    std::optional<Duration> retryAfter;
    /// Whether the server has closed or reset the connection before its response was complete.
    bool isConnectionLost = false;
};

/// A value or an Error. Accessing the alternative that it does not hold terminates the process.
template<typename T>
using Result =
        BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, Error,
                                                 BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

/// \returns the stable name of `code` as used in responses, such as `rate_limited`
[[nodiscard]] std::string_view toString(ErrorCode code) noexcept;

/// \returns `not_run`, `ran` or `outcome_unknown`
[[nodiscard]] std::string_view toString(Execution execution) noexcept;

/// \returns whether an HTTP status promises the caller that its request was not executed and will
/// not be: 408, 421, 429 or 503. A caller may send a request that must not run twice again after it
[[nodiscard]] bool promisesNotRun(unsigned status) noexcept;

/// \returns the HTTP status code for `error`; one that promises that the request was not executed
/// only for Execution::NotRun, and 502 in its place for others
[[nodiscard]] unsigned httpStatus(const Error &error) noexcept;

/// Makes an Error of a request that reached no target; sets no retry time.
[[nodiscard]] Error makeError(ErrorCode code, std::string message);

/// \returns `error` as that of a request that a target may have executed, without a retry time
[[nodiscard]] Error withUnknownOutcome(Error error);

} // namespace bluebell
