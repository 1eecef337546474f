#include "core/memorybudget.h"

#include <algorithm>
#include <utility>

namespace bluebell {

MemoryShare::MemoryShare(std::shared_ptr<MemoryBudget> budget) noexcept
    : m_budget(std::move(budget))
{
}

MemoryShare::~MemoryShare()
{
    if (m_budget)
        m_budget->m_held -= m_size;
}

bool MemoryShare::resize(std::size_t size) noexcept
{
    if (!m_budget)
        return true;
    auto &it = *m_budget;
    const auto free = it.m_limit - std::min(it.m_limit, it.m_held);
    if (size > m_size && size > free)
        return false;
    it.m_held += size - m_size;
    m_size = size;
    it.m_peak = std::max(it.m_peak, it.m_held);
    return true;
}

} // namespace bluebell
