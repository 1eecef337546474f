#include "core/result.h"

#include <array>
#include <utility>

namespace bluebell {
namespace {

constexpr unsigned StatusRequestTimeout = 408;
constexpr unsigned StatusMisdirected = 421;
constexpr unsigned StatusTooManyRequests = 429;
constexpr unsigned StatusBadGateway = 502;
constexpr unsigned StatusUnavailable = 503;

struct CodeEntry
{
    std::string_view name;
    unsigned status;
};

/// Indexed by ErrorCode.
constexpr std::array<CodeEntry, 15> Codes { {
        { "invalid_argument", 400 },
        { "unauthenticated", 401 },
        { "permission_denied", 403 },
        { "not_found", 404 },
        { "conflict", 409 },
        { "payload_too_large", 413 },
        { "rate_limited", 429 },
        { "overloaded", 503 },
        { "deadline_exceeded", 504 },
        { "unavailable", 503 },
        { "key_withdrawn", 401 },
        { "still_running", 409 },
        { "outcome_unknown", 502 },
        { "truncated", 502 },
        { "internal", 500 },
} };

} // namespace

std::string_view toString(ErrorCode code) noexcept
{
    return Codes.at(static_cast<std::size_t>(code)).name;
}

std::string_view toString(Execution execution) noexcept
{
    switch (execution) {
    case Execution::NotRun:
        return "not_run";
    case Execution::Ran:
        return "ran";
    case Execution::OutcomeUnknown:
        break;
    }
    return "outcome_unknown";
}

bool promisesNotRun(unsigned status) noexcept
{
    return status == StatusRequestTimeout || status == StatusMisdirected
            || status == StatusTooManyRequests || status == StatusUnavailable;
}

unsigned httpStatus(const Error &error) noexcept
{
    const auto status = Codes.at(static_cast<std::size_t>(error.code)).status;
    const bool isTrue = error.execution == Execution::NotRun || !promisesNotRun(status);
    return isTrue ? status : StatusBadGateway;
}

Error makeError(ErrorCode code, std::string message)
{
    return Error { code, std::move(message), Execution::NotRun, std::nullopt };
}

Error withUnknownOutcome(Error error)
{
    error.execution = Execution::OutcomeUnknown;
    error.retryAfter.reset();
    return error;
}

} // namespace bluebell
