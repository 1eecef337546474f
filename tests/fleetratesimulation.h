#pragma once

#include "rate/sharedrate.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

/// \file
/// A fleet of daemons that share an organisation's rate, in virtual time.

namespace bluebell::testing {

struct FleetRateScenario
{
    std::uint64_t seed = 1;
    std::size_t daemons = 8;
    RateLimit limit { 170000, 170000 };
    /// Offered tokens per second as a multiple of the rate.
    double load = 1;
    /// The load until `surgeAt`, if it differs.
    double loadBefore = 0;
    Duration surgeAt {};
    Duration length = std::chrono::seconds(14);
    /// Age of a count when it reaches another daemon, without the interval of messages.
    Duration minDelay = std::chrono::milliseconds(100);
    Duration maxDelay = std::chrono::milliseconds(500);
    /// Probability that a message is lost.
    double loss = 0;
    bool hasPartition = false;
    bool hasRestarts = false;
    /// All daemons are killed at this time and started again at once.
    std::optional<Duration> restartAllAt;
    /// All requests arrive at the first daemon.
    bool isAtOneDaemon = false;
};

struct FleetRateOutcome
{
    /// The worst window as a fraction of what is allowed.
    double worst = 0;
    /// Admitted tokens as a fraction of rate x length + burst.
    double used = 0;
    std::size_t requests = 0;
    std::size_t refused = 0;
    /// Refusals by one exact bucket with the same requests.
    std::size_t refusedByOneBucket = 0;
};

/// Simulates the daemons, the messages between them and the callers.
///
/// Up to 16 daemons send their counts to each other every 200 ms. In a larger fleet, daemons report
/// to the relay of their group, relays exchange sums, and digests return them; each of these
/// messages is sent every 200 ms and takes a part of the delay.
class FleetRateSimulation
{
public:
    static constexpr QuotaBound Bound { 0.1, 17000, std::chrono::seconds(8) };

    explicit FleetRateSimulation(const FleetRateScenario &scenario);

    [[nodiscard]] FleetRateOutcome run();

private:
    struct Daemon
    {
        std::optional<SharedRate> rate;
        IncarnationId incarnation;
        int starts = 0;
        TimePoint startedAt;
        TimePoint nextSend;
        /// When the daemon is started again.
        std::optional<TimePoint> restartAt;
        /// When the others were last heard.
        std::vector<TimePoint> heardAt;
        TimePoint digestAt;
        std::size_t liveByRelay = 1;
        IncarnationId countingRelay;
    };
    struct Report
    {
        Tokens total = 0;
        IncarnationId incarnation;
        Duration uptime {};
        Tokens level = 0;
        TimePoint sentAt;
    };
    struct Summary
    {
        Tokens total = 0;
        TimePoint sentAt;
    };
    /// A relay's sums and what it knows of its members.
    struct Relay
    {
        Tokens own = 0;
        Tokens fleet = 0;
        std::vector<Report> counted;
        std::vector<std::optional<Summary>> others;
        TimePoint nextSend;
    };
    struct Digest
    {
        std::size_t relay = 0;
        Tokens total = 0;
        Report counted;
        Duration age {};
        std::size_t live = 1;
        Tokens level = 0;
    };
    struct Message
    {
        enum class Kind : std::uint8_t { Status, Report, Summary, Digest };
        Kind kind = Kind::Status;
        std::size_t from = 0;
        std::size_t to = 0;
        Report report;
        Summary summary;
        Digest digest;
    };

    [[nodiscard]] bool usesRelays() const { return m_scenario.daemons > 16; }
    [[nodiscard]] std::size_t groupOf(std::size_t daemon) const { return daemon % m_relays.size(); }
    [[nodiscard]] double uniform(double from, double to)
    {
        return std::uniform_real_distribution<>(from, to)(m_random);
    }
    void start(std::size_t daemon, bool isFirst);
    void planFailures();
    void fail();
    /// Sends a message unless it is lost or cut off.
    void send(Message message, bool isFirstSide, bool isSecondSide);
    [[nodiscard]] bool isOnFirstSide(const Message &message, bool ofSender) const;
    /// \returns the time that the next message takes
    [[nodiscard]] Duration delay();
    void sendCounts(std::size_t daemon);
    void sendSums(std::size_t relay);
    void deliver();
    void handleStatus(const Message &message);
    void handleReport(const Message &message);
    void handleDigest(const Message &message);
    [[nodiscard]] Report reportOf(std::size_t daemon);
    [[nodiscard]] std::size_t liveCount(std::size_t daemon) const;
    void request();
    [[nodiscard]] double loadNow() const;
    void finish(FleetRateOutcome &outcome) const;

    FleetRateScenario m_scenario;
    std::mt19937_64 m_random;
    TimePoint m_now { std::chrono::seconds(100) };
    TimePoint m_begin = m_now;
    TimePoint m_relaysStartedAt = m_now;
    std::vector<Daemon> m_daemons;
    std::vector<Relay> m_relays;
    std::multimap<TimePoint, Message> m_inTransit;
    /// Daemons, or relays with their members, that are on the first side of a partition.
    std::vector<bool> m_isFirstSide;
    TimePoint m_cutAt = TimePoint::max();
    TimePoint m_healedAt = TimePoint::max();
    std::multimap<TimePoint, std::size_t> m_kills;
    bool m_isAllRestarted = false;
    /// Admitted tokens by steps since the beginning.
    std::vector<double> m_admitted;
    double m_bucket = 0;
    TimePoint m_bucketAt;
    FleetRateOutcome m_outcome;
};

} // namespace bluebell::testing
