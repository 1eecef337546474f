#include "streams/streamassembler.h"

#include <algorithm>
#include <utility>

namespace bluebell {

StreamAssembler::StreamAssembler(RequestId request, Settings settings, TimePoint deadline)
    : m_request(std::move(request)), m_settings(settings), m_deadline(deadline)
{
}

Resume StreamAssembler::start(TimePoint now)
{
    m_attempt = 1;
    m_lastProgress = now;
    return Resume { m_attempt, m_offset };
}

bool StreamAssembler::isCurrent(const RequestId &request, AttemptId attempt) const noexcept
{
    return !m_hasEnded && request == m_request && attempt == m_attempt;
}

StreamAction StreamAssembler::onToken(StreamToken token, TimePoint now)
{
    if (!isCurrent(token.request, token.attempt))
        return Ignore {};
    if (token.offset < m_offset)
        return Ignore {};
    if (token.offset > m_offset)
        return nextAttempt(makeError(ErrorCode::Truncated, "the target left out a token"), now);
    ++m_offset;
    m_lastProgress = now;
    return Deliver { std::move(token.text) };
}

StreamAction StreamAssembler::onEnd(const StreamEnd &end, TimePoint now)
{
    if (!isCurrent(end.request, end.attempt))
        return Ignore {};
    if (end.length != m_offset)
        return nextAttempt(makeError(ErrorCode::Truncated, "the target ended the answer too early"),
                           now);
    m_hasEnded = true;
    return Complete { end.reason };
}

StreamAction StreamAssembler::onAttemptFailed(AttemptId attempt, const Error &cause, TimePoint now)
{
    if (m_hasEnded || attempt != m_attempt)
        return Ignore {};
    const bool isLostStart = cause.isConnectionLost && m_offset == m_attemptOffset;
    m_lostStarts = isLostStart ? m_lostStarts + 1 : 0;
    return nextAttempt(cause, now);
}

StreamAction StreamAssembler::onTick(TimePoint now)
{
    if (m_hasEnded || now - m_lastProgress < m_settings.progressTimeout)
        return Ignore {};
    return nextAttempt(makeError(ErrorCode::DeadlineExceeded, "the target has gone silent"), now);
}

StreamAction StreamAssembler::nextAttempt(const Error &cause, TimePoint now)
{
    if (!mayRetry(now) || m_lostStarts >= m_settings.maxLostStarts) {
        m_hasEnded = true;
        Error error = cause;
        if (m_offset > 0) {
            error.code = ErrorCode::Truncated;
            error.execution = Execution::Ran;
        }
        return Abort { std::move(error) };
    }
    ++m_attempt;
    m_attemptOffset = m_offset;
    m_lastProgress = now;
    return Resume { m_attempt, m_offset };
}

void RetryBudget::noteFirstAttempt() noexcept
{
    m_balance = std::min(m_balance + m_settings.ratio, m_settings.maxBalance);
}

bool RetryBudget::takeRetry() noexcept
{
    if (!hasRetry())
        return false;
    m_balance -= 1;
    return true;
}

} // namespace bluebell
