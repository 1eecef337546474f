#include "gateway/quarantineservice.h"

#include "core/log.h"
#include "io/background.h"
#include "platform/fields.h"

#include <nlohmann/json.hpp>

namespace asio = boost::asio;

namespace bluebell::gateway {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/// Interval of the decisions while a part is suspected.
constexpr Duration DecisionInterval = milliseconds(50);
/// The same while none is.
constexpr Duration IdleInterval = std::chrono::seconds(10);
/// Interval at which the leader compares the table with the quarantines in force.
constexpr Duration StoreInterval = milliseconds(500);
constexpr Duration StoreTimeout = milliseconds(1200);
/// Quarantines are counted one by one; a row beyond this is not from a gateway.
constexpr std::uint64_t MaxGeneration = std::uint64_t(1) << 32U;

std::string encode(const QuarantineVerdict &verdict)
{
    return json {
        { "generation", verdict.generation }, { "failed_trials", verdict.failedTrials }
    }.dump();
}

/// \returns the quarantine, which counts as new, or nothing if the row is malformed or removed
std::optional<QuarantineVerdict> decode(const platform::StoreRow &row)
{
    const auto object = json::parse(row.isDeleted ? "" : row.value, nullptr, false);
    if (!object.is_object() || row.key.empty())
        return std::nullopt;
    const auto generation = platform::unsignedField(object, "generation");
    const auto failedTrials = platform::unsignedField(object, "failed_trials");
    if (!generation || *generation > MaxGeneration || !failedTrials
        || *failedTrials > platform::MaxCount)
        return std::nullopt;
    return QuarantineVerdict {
        PromptPartId(row.key), *generation, false, static_cast<std::uint32_t>(*failedTrials), {}
    };
}

} // namespace

void QuarantineService::start()
{
    spawnLoop(m_context.get_executor(), "decide on quarantines", [this] { return decide(); });
    spawnLoop(m_context.get_executor(), "store quarantines", [this] { return storeVerdicts(); });
}

void QuarantineService::replaceRows(const std::vector<platform::StoreRow> &rows)
{
    m_stored.clear();
    m_isTableKnown = true;
    updateRows(rows);
}

void QuarantineService::updateRows(const std::vector<platform::StoreRow> &rows)
{
    const auto now = BootClock::now();
    for (const auto &row : rows) {
        m_stored.erase(PromptPartId(row.key));
        const auto verdict = decode(row);
        if (!verdict)
            continue;
        m_stored[verdict->part] = verdict->generation;
        m_state.quarantine.merge(*verdict, now);
    }
    m_state.quarantineDue.notify();
}

asio::awaitable<void> QuarantineService::decide()
{
    for (;;) {
        const auto now = BootClock::now();
        m_state.quarantine.update(now);
        logChanges(now);
        const auto interval = m_state.quarantine.hasSuspects() ? DecisionInterval : IdleInterval;
        co_await m_state.quarantineDue.wait(interval);
    }
}

void QuarantineService::logChanges(TimePoint now)
{
    const auto changes = m_state.quarantine.takeChanges(now);
    for (const auto &it : changes) {
        log::warning(it.isLifted ? "quarantine of a prompt part lifted"
                                 : "prompt part in quarantine",
                     { { "part", it.part.value() },
                       { "crashes", std::to_string(m_state.quarantine.crashCount(it.part)) },
                       { "generation", std::to_string(it.generation) },
                       { "failed_trials", std::to_string(it.failedTrials) } });
        m_state.metrics.count(it.isLifted ? "bluebell_quarantines_lifted_total"
                                          : "bluebell_quarantines_total",
                              {});
    }
    if (changes.empty())
        return;
    // Requests that wait may contain the part.
    m_state.notifyChange();
    m_state.notifyRelays();
}

std::optional<platform::RowChange> QuarantineService::nextChange(TimePoint now) const
{
    std::map<PromptPartId, QuarantineVerdict> inForce;
    for (const auto &it : m_state.quarantine.verdicts(now))
        if (!it.isLifted)
            inForce.emplace(it.part, it);
    for (const auto &[part, verdict] : inForce) {
        const auto stored = m_stored.find(part);
        if (stored == m_stored.end() || stored->second < verdict.generation)
            return platform::RowChange { QuarantineTable, part.value(), encode(verdict) };
    }
    for (const auto &[part, generation] : m_stored)
        if (!inForce.contains(part))
            return platform::RowChange { QuarantineTable, part.value(), std::nullopt };
    return std::nullopt;
}

asio::awaitable<void> QuarantineService::storeVerdicts()
{
    for (;;) {
        co_await sleepFor(StoreInterval);
        const auto now = BootClock::now();
        if (!m_isTableKnown || !m_state.leadership.isLeader(now))
            continue;
        const auto change = nextChange(now);
        if (!change)
            continue;
        const PromptPartId part(change->key);
        const auto done =
                co_await m_store.put(change->table, change->key, change->value, StoreTimeout);
        if (!done) {
            log::warning("failed to store a quarantine",
                         { { "part", part.value() }, { "cause", done.error().message } });
            continue;
        }
        if (!change->value)
            m_stored.erase(part);
        else if (const auto written = decode({ {}, change->key, *change->value, 0, false }))
            m_stored[part] = written->generation;
    }
}

} // namespace bluebell::gateway
