#pragma once

#include "http/message.h"
#include "placement/demandtracker.h"
#include "site/callerrequest.h"
#include "site/siteindex.h"
#include "streams/eventsplitter.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>

/// \file
/// State of one caller's request while the gateway processes it.

namespace bluebell::gateway {

/// Local state of an organisation's token bucket at the moment a request was rejected.
struct RateLimitDetails
{
    Tokens requested = 0;
    Tokens level = 0;
    /// Registered daemons.
    std::size_t daemons = 0;
    /// Daemons whose statuses, and so whose admitted counts, arrive.
    std::size_t liveDaemons = 0;
    /// The part of the bucket that this daemon may use unseen by the others.
    double share = 1;
    /// Tokens admitted here that others may not know yet.
    Tokens unseen = 0;
    /// Mean age of the others' counts.
    Duration countAge {};
};

/// How much of a response the caller's connection has taken.
enum class Delivery : std::uint8_t {
    /// A complete response, which may be an error.
    Complete,
    /// The beginning of a response; the connection is closed after it.
    Truncated,
    /// Nothing; the connection is closed without a response.
    None,
};

enum class NoticeKind : std::uint8_t {
    /// The target states that it is leaving.
    Leaving,
    /// The target has asked to be sent nothing for some time.
    HoldOff,
};

/// A target's notice that has affected a request.
struct TargetNotice
{
    NoticeKind kind = NoticeKind::Leaving;
    TargetId target;
    /// Start time of the run of the target, see TargetEntry::startTimeMs.
    std::uint64_t startTimeMs = 0;
    /// When the target gave it.
    TimePoint at;
};

/// How far the response to an attempt has come.
struct AttemptProgress
{
    TimePoint sentAt;
    /// When the response head was read.
    std::optional<TimePoint> headAt;
    /// Whether the head has the status of a success.
    bool isSuccess = false;
    /// When the first and the latest chunk of a stream with a complete event were read.
    std::optional<TimePoint> firstChunkAt;
    std::optional<TimePoint> lastChunkAt;
    /// Whether the response has gone on after it began, so that the request has not crashed the
    /// target.
    bool hasSurvived = false;
};

/// One attempt of a request at a target.
struct Attempt
{
    TargetId target;
    /// Start time of the target's run to which the request was sent, see TargetEntry::startTimeMs.
    std::uint64_t startTimeMs = 0;
    /// The model or adapter that the request needs, if any.
    std::optional<ReplicaKey> key;
    AttemptProgress progress;
    /// Whether the attempt is counted in the target selector.
    bool isCounted = false;
    /// Whether the attempt is counted in RequestContext::runs.
    bool hasRun = false;
};

struct Takeover;

/// State of one request while it is processed.
struct RequestContext : std::enable_shared_from_this<RequestContext>
{
    const HttpRequest *http = nullptr;
    /// Body of `http`, which attempts at targets send without a copy.
    std::shared_ptr<const std::string> body;
    CallerRequest caller;
    /// Configuration in force at the arrival: its route and service apply to the request whatever
    /// newer versions say. Its key must be held by an organisation in every version.
    std::shared_ptr<const SiteIndex> index;
    const Route *route = nullptr;
    const Service *service = nullptr;
    /// The organisation that held the key when the request was last sent, or has arrived. Empty on
    /// routes that need no key.
    OrganisationId organisation;
    int priority = 5;
    TimePoint receivedAt;
    /// Time by which the caller must have its complete response.
    TimePoint deadline;
    /// Cancelled when the caller disconnects or its key is withdrawn.
    std::shared_ptr<CancelSource> cancel;
    bool isKeyWithdrawn = false;
    /// Tokens taken from the organisation's rate limit.
    Tokens reserved = 0;
    /// Value of `runs` when they were taken.
    std::uint32_t runsBeforeReservation = 0;
    /// Set when the rate limit rejected the request.
    std::optional<RateLimitDetails> rateDetails;
    /// Attempts that the target started, or may have started, to execute.
    std::uint32_t runs = 0;
    /// Attempts, including those that failed to connect.
    std::uint32_t sends = 0;
    /// Targets that are skipped in the next selection.
    std::set<TargetId> triedTargets;
    /// Total time spent waiting for a target.
    Duration waited {};
    /// Whether the response head has been sent to the caller.
    bool hasStartedResponse = false;
    /// Media type of a stream that has begun.
    std::string mediaType;
    /// When the first and the latest chunk of a stream were sent to the caller.
    std::optional<TimePoint> firstChunkAt;
    std::optional<TimePoint> lastChunkAt;
    /// Longest time between two chunks of a stream.
    Duration longestGap {};
    /// Attempts that a target refused because it was full, or because it did not hold the model.
    std::uint32_t refusalsFull = 0;
    std::uint32_t refusalsNotResident = 0;
    /// Splits the stream, so that the caller gets complete events only.
    EventSplitter events;
    /// The attempt whose response is passed on, or the last one.
    Attempt latest;
    /// Set while another target may take the request over from a silent one.
    std::shared_ptr<Takeover> takeover;
    /// Whether the request tries a prompt part that is in quarantine.
    bool isTrial = false;
    /// End of the first hold-off or cold period that the request waits for, if it waits for nothing
    /// else.
    std::optional<TimePoint> holdOffEnd;
    /// Whether that is a cold period.
    bool isHeldOffByCold = false;
    /// The latest notice that has affected the request.
    std::optional<TargetNotice> notice;
    /// Entry in the demand statistics while the request waits.
    std::optional<WaitId> wait;
};

/// Result of one attempt at a target.
enum class AttemptOutcome : std::uint8_t {
    /// The caller has received the complete response.
    Answered,
    /// No byte of the request was sent.
    NotSent,
    /// The target refused the request without executing it.
    NotRun,
    /// The request may have been executed, but there is no valid response.
    Failed,
    /// The caller has disconnected, or a response that has begun cannot be completed.
    Undeliverable,
};

/// How an attempt at a target has ended.
struct AttemptResult
{
    AttemptOutcome outcome = AttemptOutcome::NotRun;
    Error error;
    /// A complete error response of the target, for the caller if no other attempt follows.
    std::optional<HttpResponse> response = std::nullopt;
};

/// Notes that the target of an attempt has executed the request, or may have.
void noteRun(RequestContext &it, Attempt &attempt);

[[nodiscard]] std::string_view toString(Delivery delivery) noexcept;

/// \returns an error of a request that reached no target
[[nodiscard]] Error notRun(ErrorCode code, std::string message, Duration retryAfter);

/// \returns an error of a request that a target may have executed
[[nodiscard]] Error mayHaveRun(ErrorCode code, std::string message);

} // namespace bluebell::gateway
