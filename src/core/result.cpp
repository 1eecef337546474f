#include "core/result.h"

#include <array>
#include <utility>

namespace bluebell {
namespace {

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

unsigned httpStatus(ErrorCode code) noexcept
{
    return Codes.at(static_cast<std::size_t>(code)).status;
}

Error makeError(ErrorCode code, std::string message)
{
    return Error { code, std::move(message), Execution::NotRun, std::nullopt };
}

} // namespace bluebell
