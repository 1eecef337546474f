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
/// Errors as values.

namespace bluebell {

/// What went wrong, in the form that callers can act on.
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
    KeyWithdrawn,
    StillRunning,
    OutcomeUnknown,
    Truncated,
    Internal,
};

/// Whether the request behind an error can have reached a target.
enum class Execution : std::uint8_t {
    NotRun,
    Ran,
    OutcomeUnknown,
};

/// An error with a sentence for a person and a code for a program.
struct Error
{
    ErrorCode code = ErrorCode::Internal;
    std::string message;
    Execution execution = Execution::NotRun;
    /// The earliest time after which a retry can succeed, if known.
    std::optional<Duration> retryAfter;
};

/// A value or an Error. Reading the wrong one is a broken invariant and stops the process.
template<typename T>
using Result =
        BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, Error,
                                                 BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

/// \returns the stable name of `code` as it stands in responses, such as `rate_limited`
[[nodiscard]] std::string_view toString(ErrorCode code) noexcept;

/// \returns `not_run`, `ran` or `outcome_unknown`
[[nodiscard]] std::string_view toString(Execution execution) noexcept;

/// \returns the HTTP status that stands for `code`
[[nodiscard]] unsigned httpStatus(ErrorCode code) noexcept;

/// Makes an Error of a request that reached no target.
[[nodiscard]] Error makeError(ErrorCode code, std::string message);

} // namespace bluebell
