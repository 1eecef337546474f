#pragma once

#include "rate/sharedrate.h"
#include "relay/digesthistory.h"
#include "relay/relaynode.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

/// \file
/// A fleet of daemons that exchange state through relays, in virtual time.

namespace bluebell::testing {

struct RelayScenario
{
    std::size_t daemons = 200;
    std::size_t dataCentres = 5;
    /// Probability that a datagram is lost.
    double loss = 0;
    Duration maxDelay = std::chrono::milliseconds(20);
    /// Interval at which readers read the store.
    Duration readInterval = std::chrono::milliseconds(1400);
    unsigned seed = 1;
};

/// Simulates the daemons of a fleet, the store that readers follow and the network between them.
///
/// The store is a table of targets, of which only the version is of interest. Each daemon applies
/// the same steps as the gateway's RelayService.
class RelaySimulation
{
public:
    explicit RelaySimulation(const RelayScenario &scenario);

    /// Advances the time.
    void run(Duration length);

    // Events.

    /// Writes a row and returns the store's new version.
    std::uint64_t writeRow();
    void kill(std::size_t daemon);
    /// Starts a killed daemon again, with an empty state.
    void restart(std::size_t daemon);
    /// Suspends a daemon; it sends and processes nothing until then.
    void freeze(std::size_t daemon, Duration length);
    /// Cuts a daemon off from all others, and from the store if `fromStore` is set.
    void cut(std::size_t daemon, bool fromStore);
    void cutFromStore(std::size_t daemon);
    void heal(std::size_t daemon);
    /// Requests an admission of tokens at a daemon.
    ///
    /// \returns whether it was admitted
    bool admit(std::size_t daemon, Tokens tokens);
    /// Returns tokens that were admitted at a daemon, if it still runs since then.
    void refund(std::size_t daemon, Tokens tokens);
    void setLimit(RateLimit limit);

    // Queries.

    [[nodiscard]] TimePoint now() const noexcept { return m_now; }
    [[nodiscard]] std::size_t size() const noexcept { return m_daemons.size(); }
    [[nodiscard]] bool isRunning(std::size_t daemon) const;
    /// \returns since when the daemon has run without a disturbance
    [[nodiscard]] TimePoint calmSince(std::size_t daemon) const;
    [[nodiscard]] std::uint64_t versionAt(std::size_t daemon) const;
    [[nodiscard]] bool isUnavailable(std::size_t observer, std::size_t daemon) const;
    [[nodiscard]] bool knowsFleet(std::size_t daemon) const;
    [[nodiscard]] std::size_t relayCount() const;
    [[nodiscard]] std::size_t readerCount() const;
    /// \returns the datagrams that a daemon has received so far
    [[nodiscard]] std::uint64_t received(std::size_t daemon) const;
    /// \returns the largest number of datagrams that one daemon has sent so far
    [[nodiscard]] std::uint64_t mostSent() const;
    [[nodiscard]] std::uint64_t storeReads() const noexcept { return m_storeReads; }

private:
    struct Daemon
    {
        Daemon(VmId vm, TimePoint now) : node(std::move(vm), now) { }

        RelayNode node;
        RowLog<std::string, TargetRow> targets;
        DigestHistory digestsToAll;
        DigestHistory digestsToPrimaries;
        std::optional<SharedRate> rate;
        IncarnationId countingRelay;
        bool isDigestDue = false;
        bool areCountsDue = false;
        TimePoint startedAt;
        TimePoint nextReport;
        TimePoint reportedAt;
        TimePoint nextDigest;
        TimePoint nextTick;
        TimePoint nextRead;
        TimePoint readAt;
    };
    struct Vm
    {
        VmId id;
        DataCentreId dataCentre;
        std::uint32_t capacity = 0;
        int incarnation = 1;
        bool isCut = false;
        bool isCutFromStore = false;
        TimePoint frozenUntil;
        TimePoint calmSince;
        std::uint64_t received = 0;
        std::uint64_t sent = 0;
    };
    struct Report
    {
        DaemonStatus status;
        std::uint64_t sequence = 0;
        bool isPrimary = false;
    };
    struct Digest
    {
        FleetDigest digest;
        std::uint64_t countedReport = 0;
    };
    struct Datagram
    {
        std::size_t from = 0;
        std::size_t to = 0;
        std::variant<Report, Digest, GroupSummary> content;
    };

    void start(std::size_t daemon);
    void startRate(std::size_t daemon);
    void step();
    void send(std::size_t from, const VmId &to, std::variant<Report, Digest, GroupSummary> content);
    void deliver();
    void handle(Daemon &daemon, std::size_t self, const Report &report);
    void handle(Daemon &daemon, std::size_t self, const Digest &digest);
    void handle(Daemon &daemon, std::size_t self, const GroupSummary &summary);
    void act(std::size_t self);
    void sendReports(std::size_t self);
    void sendDigests(std::size_t self, bool isForAll);
    void sendSummaries(std::size_t self, bool hasInFlight);
    void noteRates(Daemon &daemon);
    void readStore(Daemon &daemon);
    void noteCounts(Daemon &daemon, const FleetCounts &counts, Duration relayUptime,
                    const std::vector<RateUsage> &levels);
    [[nodiscard]] DaemonStatus statusOf(std::size_t self);
    [[nodiscard]] FleetDigest makeDigest(std::size_t self, const DigestVersions &base);
    [[nodiscard]] bool isActive(std::size_t daemon) const;

    RelayScenario m_scenario;
    std::mt19937_64 m_random;
    TimePoint m_now { std::chrono::seconds(100) };
    std::vector<Vm> m_vms;
    std::map<VmId, std::size_t> m_indexOf;
    std::vector<std::optional<Daemon>> m_daemons;
    std::multimap<TimePoint, Datagram> m_inTransit;
    std::map<std::string, TargetRow> m_table;
    std::uint64_t m_storeVersion = 1;
    std::uint64_t m_storeReads = 0;
    std::optional<RateLimit> m_limit;
};

} // namespace bluebell::testing
