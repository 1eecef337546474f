#pragma once

#include "core/ids.h"
#include "core/result.h"
#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

/// \file
/// Puts one caller's answer together from one or more attempts.

namespace bluebell {

/// Numbers the attempts of one request from 1.
using AttemptId = std::uint32_t;
/// Position of a token in an answer, from 0.
using StreamOffset = std::uint64_t;

/// One token as a target sends it.
struct StreamToken
{
    RequestId request;
    AttemptId attempt = 0;
    StreamOffset offset = 0;
    std::string text;
};

/// The end marker: the answer has `length` tokens in all.
struct StreamEnd
{
    RequestId request;
    AttemptId attempt = 0;
    StreamOffset length = 0;
    std::string reason;
};

// What the assembler asks its driver to do.

/// Hand this text to the caller.
struct Deliver
{
    std::string text;
};
/// Nothing: the event is late, crossed or a duplicate.
struct Ignore
{
};
/// Drop the current attempt and start `attempt` on a new connection at `offset`.
struct Resume
{
    AttemptId attempt = 0;
    StreamOffset offset = 0;
};
/// The answer is whole.
struct Complete
{
    std::string reason;
};
/// The answer cannot be completed; the caller is told so.
struct Abort
{
    Error error;
};
using StreamAction = std::variant<Deliver, Ignore, Resume, Complete, Abort>;

/// Decides what of the targets' events reaches the caller.
///
/// Every token is delivered once and in order, and an answer ends well only with its end marker.
/// Events of an attempt other than the current one are passed over.
class StreamAssembler
{
public:
    struct Settings
    {
        /// The longest time without a token after which the connection counts as silent.
        Duration progressTimeout = std::chrono::seconds(2);
        std::uint32_t mostAttempts = 4;
    };

    /// \param deadline no attempt starts after this time
    StreamAssembler(RequestId request, Settings settings, TimePoint deadline);

    /// Starts the first attempt.
    [[nodiscard]] Resume start(TimePoint now);

    [[nodiscard]] StreamAction onToken(StreamToken token, TimePoint now);
    [[nodiscard]] StreamAction onEnd(const StreamEnd &end, TimePoint now);
    /// The connection of `attempt` broke, or the target refused it.
    [[nodiscard]] StreamAction onBroken(AttemptId attempt, const Error &cause, TimePoint now);
    /// Notes the passing of time.
    [[nodiscard]] StreamAction onTick(TimePoint now);

    [[nodiscard]] AttemptId attempt() const noexcept { return m_attempt; }
    /// \returns the number of tokens delivered so far
    [[nodiscard]] StreamOffset offset() const noexcept { return m_offset; }
    [[nodiscard]] bool hasEnded() const noexcept { return m_hasEnded; }

private:
    [[nodiscard]] bool isCurrent(const RequestId &request, AttemptId attempt) const noexcept;
    [[nodiscard]] StreamAction nextAttempt(const Error &cause, TimePoint now);

    RequestId m_request;
    Settings m_settings;
    TimePoint m_deadline;
    TimePoint m_lastProgress;
    AttemptId m_attempt = 0;
    StreamOffset m_offset = 0;
    bool m_hasEnded = false;
};

/// Limits retries to a share of first attempts, so that a fault does not multiply the load.
class RetryBudget
{
public:
    struct Settings
    {
        /// Retries earned by one first attempt.
        double ratio = 0.2;
        /// Retries that can be saved up.
        double largest = 10;
    };

    explicit RetryBudget(Settings settings) : m_settings(settings), m_balance(settings.largest) { }

    void noteFirstAttempt() noexcept;
    /// \returns whether a retry may be made, and counts it
    [[nodiscard]] bool takeRetry() noexcept;

private:
    Settings m_settings;
    double m_balance;
};

} // namespace bluebell
