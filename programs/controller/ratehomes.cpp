#include "controller/ratehomes.h"

#include "rate/shares.h"

#include <fmt/core.h>

#include <utility>

namespace bluebell::controller {
namespace {

RoleId rateRole(const OrganisationId &organisation, std::uint8_t source)
{
    return source == 0 ? homeRole(organisation) : baseShareRole(organisation, source - 1);
}

} // namespace

void RateHomes::noteRules(std::shared_ptr<const RuleSet> rules, TimePoint now)
{
    if (m_rules == rules)
        return;
    m_rules = std::move(rules);
    std::erase_if(m_homes, [&](const auto &it) {
        return !m_rules->organisations.contains(it.second.organisation);
    });
    for (auto &[role, home] : m_homes)
        if (const auto limit = limitOf(home.organisation, home.source))
            home.home.setLimit(*limit, now);
}

std::optional<RateLimit> RateHomes::limitOf(const OrganisationId &organisation,
                                            std::uint8_t source) const
{
    return shareOf(*m_rules, organisation, source);
}

RateHome RateHomes::start(const RoleRow &row, RateLimit limit, TimePoint now)
{
    const auto started = m_startedEpochs.find(row.role);
    const bool isRestart = started != m_startedEpochs.end() && started->second == row.epoch;
    m_startedEpochs[row.role] = row.epoch;
    // The handover in the row describes the start of the epoch. It is outdated after a restart in
    // the same epoch, because this daemon may have made grants since.
    if (isRestart)
        return { limit, m_settings, now };
    // The holder in epoch 1 has no predecessor that could have outstanding grants.
    if (row.epoch == 1)
        return { limit, m_settings, RateHandover { limit.burst, 0 }, now };
    if (row.handover)
        return { limit, m_settings, *row.handover, now };
    return { limit, m_settings, now };
}

RateHomes::Home *RateHomes::findOrStart(const AcquireQuestion &question, TimePoint now)
{
    const auto role = rateRole(question.organisation, question.source);
    const auto *row = m_findHeldRole(role, now);
    const auto limit = limitOf(question.organisation, question.source);
    if (row == nullptr || !limit || m_closed.contains(role)) {
        m_homes.erase(role);
        return nullptr;
    }
    if (const auto it = m_homes.find(role); it != m_homes.end() && it->second.epoch == row->epoch)
        return &it->second;
    Home entry { start(*row, *limit, now), row->epoch, question.organisation, question.source };
    return &m_homes.insert_or_assign(role, std::move(entry)).first->second;
}

AcquireAnswer RateHomes::answer(const AcquireQuestion &question, TimePoint now)
{
    auto *it = findOrStart(question, now);
    if (it == nullptr)
        return NotHome {};
    for (const auto &report : question.reports)
        it->home.noteReport(report, now);
    if (question.question.least == 0)
        return ReportsAccepted {};
    return std::visit([](auto &&answer) -> AcquireAnswer { return answer; },
                      it->home.acquire(question.question, now));
}

std::optional<RateHandover> RateHomes::close(const RoleId &role, TimePoint now)
{
    m_closed.insert(role);
    const auto it = m_homes.find(role);
    if (it == m_homes.end())
        return std::nullopt;
    const auto handover = it->second.home.handover(now);
    m_homes.erase(it);
    return handover;
}

std::vector<StatusRow> RateHomes::status(TimePoint now)
{
    std::vector<StatusRow> rows;
    for (auto &[role, home] : m_homes)
        rows.push_back({ home.source == 0 ? "rate-home" : "rate-share", home.organisation.value(),
                         fmt::format("level {} of {}, {} grants out", home.home.level(now),
                                     limitOf(home.organisation, home.source)->burst,
                                     home.home.grantCount()) });
    return rows;
}

} // namespace bluebell::controller
