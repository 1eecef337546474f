#pragma once

#include "core/ids.h"
#include "core/result.h"
#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

/// \file
/// Assembles the response to one request from one or more attempts.

namespace bluebell {

/// Number of an attempt of a request, from 1.
using AttemptId = std::uint32_t;
/// Position of a token in a response, from 0.
using StreamOffset = std::uint64_t;

/// A token as received from a target.
struct StreamToken
{
    RequestId request;
    AttemptId attempt = 0;
    StreamOffset offset = 0;
    std::string text;
};

/// The end marker: the response has `length` tokens in all.
struct StreamEnd
{
    RequestId request;
    AttemptId attempt = 0;
    StreamOffset length = 0;
    std::string reason;
};

// Actions that the user of StreamAssembler carries out.

/// Send this text to the caller.
struct Deliver
{
    std::string text;
};
/// Do nothing: the event is a duplicate or belongs to an earlier attempt or another request.
struct Ignore
{
};
/// Abandon the current attempt and start `attempt` on a new connection at `offset`.
struct Resume
{
    AttemptId attempt = 0;
    StreamOffset offset = 0;
};
/// The response is complete.
struct Complete
{
    std::string reason;
};
/// The response cannot be completed; report `error` to the caller.
struct Abort
{
    Error error;
};
using StreamAction = std::variant<Deliver, Ignore, Resume, Complete, Abort>;

/// State machine that forwards the events of targets to the caller and resumes broken streams.
///
/// Every token is delivered once and in order, and a response completes only with its end marker.
/// Events of any attempt but the current one are ignored.
class StreamAssembler
{
public:
    struct Settings
    {
        /// Time without a new token after which the attempt is abandoned.
        Duration progressTimeout = std::chrono::seconds(2);
        /// Maximum number of attempts, the first included.
        std::uint32_t maxAttempts = 4;
        /// Targets whose connection may be lost in a row before they send a token of the request.
        /// With more, the request itself may be what crashes them.
        std::uint32_t maxLostStarts = 2;
    };

    /// \param deadline time from which no further attempt starts
    StreamAssembler(RequestId request, Settings settings, TimePoint deadline);

    /// Starts the first attempt.
    [[nodiscard]] Resume start(TimePoint now);

    [[nodiscard]] StreamAction onToken(StreamToken token, TimePoint now);
    [[nodiscard]] StreamAction onEnd(const StreamEnd &end, TimePoint now);
    /// The connection of `attempt` failed, or its target refused it.
    [[nodiscard]] StreamAction onAttemptFailed(AttemptId attempt, const Error &cause,
                                               TimePoint now);
    /// Checks the progress timeout; to be called periodically.
    [[nodiscard]] StreamAction onTick(TimePoint now);

    [[nodiscard]] AttemptId attempt() const noexcept { return m_attempt; }
    /// \returns the number of tokens delivered so far
    [[nodiscard]] StreamOffset offset() const noexcept { return m_offset; }
    [[nodiscard]] bool hasEnded() const noexcept { return m_hasEnded; }
    /// \returns whether another attempt may follow the current one
    [[nodiscard]] bool mayRetry(TimePoint now) const noexcept
    {
        return !m_hasEnded && m_attempt < m_settings.maxAttempts && now < m_deadline;
    }

private:
    [[nodiscard]] bool isCurrent(const RequestId &request, AttemptId attempt) const noexcept;
    /// \returns Resume, or Abort when no attempt or time is left
    [[nodiscard]] StreamAction nextAttempt(const Error &cause, TimePoint now);

    RequestId m_request;
    Settings m_settings;
    TimePoint m_deadline;
    TimePoint m_lastProgress;
    AttemptId m_attempt = 0;
    StreamOffset m_offset = 0;
    /// Position at which the current attempt has started.
    StreamOffset m_attemptOffset = 0;
    std::uint32_t m_lostStarts = 0;
    bool m_hasEnded = false;
};

/// Limits retries to a fraction of first attempts, so that a fault does not multiply the load.
class RetryBudget
{
public:
    struct Settings
    {
        /// Retries that each first attempt adds to the balance.
        double ratio = 0.2;
        /// Upper limit of the balance, and its initial value.
        double maxBalance = 10;
    };

    explicit RetryBudget(Settings settings) : m_settings(settings), m_balance(settings.maxBalance)
    {
    }

    void noteFirstAttempt() noexcept;
    /// \returns whether takeRetry() would allow a retry now
    [[nodiscard]] bool hasRetry() const noexcept { return m_balance >= 1; }
    /// Takes one retry from the balance.
    ///
    /// \returns whether the balance allowed a retry
    [[nodiscard]] bool takeRetry() noexcept;

private:
    Settings m_settings;
    /// Retries available.
    double m_balance;
};

} // namespace bluebell
