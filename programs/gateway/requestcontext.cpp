#include "gateway/requestcontext.h"

#include <utility>

namespace bluebell::gateway {

void noteRun(RequestContext &it, Attempt &attempt)
{
    if (!std::exchange(attempt.hasRun, true))
        ++it.runs;
}

std::string_view toString(Delivery delivery) noexcept
{
    switch (delivery) {
    case Delivery::Complete:
        return "complete";
    case Delivery::Truncated:
        return "truncated";
    case Delivery::None:
        break;
    }
    return "none";
}

Error notRun(ErrorCode code, std::string message, Duration retryAfter)
{
    return Error { code, std::move(message), Execution::NotRun, retryAfter };
}

Error mayHaveRun(ErrorCode code, std::string message)
{
    return Error { code, std::move(message), Execution::OutcomeUnknown, std::nullopt };
}

} // namespace bluebell::gateway
