#pragma once

#include "gateway/requestcontext.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <utility>

/// \file
/// The callers' requests that a gateway is processing.

namespace bluebell::gateway {

/// The requests that wait or run, by id.
///
/// The table is shared with its entries, because a coroutine's frame may be destroyed after the
/// owner of the table. Used on one thread.
class ActiveRequests
{
    using Id = std::uint64_t;

    struct Table
    {
        std::map<Id, std::shared_ptr<RequestContext>> requests;
        Id next = 1;
    };

public:
    /// Keeps a request in the table, and takes it out when it is destroyed.
    class Entry
    {
    public:
        Entry(std::shared_ptr<Table> table, Id id) : m_table(std::move(table)), m_id(id) { }
        ~Entry()
        {
            if (m_table)
                m_table->requests.erase(m_id);
        }
        Entry(Entry &&other) noexcept : m_table(std::move(other.m_table)), m_id(other.m_id) { }
        Entry(const Entry &) = delete;
        Entry &operator=(const Entry &) = delete;
        Entry &operator=(Entry &&) = delete;

    private:
        std::shared_ptr<Table> m_table;
        Id m_id;
    };

    /// Adds a request until the returned entry is destroyed.
    [[nodiscard]] Entry add(std::shared_ptr<RequestContext> request)
    {
        const auto id = m_table->next++;
        m_table->requests.emplace(id, std::move(request));
        return { m_table, id };
    }

    /// Calls `visit(RequestContext &)` for each request; it must not add or remove requests.
    template<typename Visit>
    void forEach(Visit visit)
    {
        for (auto &[id, it] : m_table->requests)
            visit(*it);
    }

    [[nodiscard]] std::size_t size() const noexcept { return m_table->requests.size(); }

private:
    std::shared_ptr<Table> m_table = std::make_shared<Table>();
};

} // namespace bluebell::gateway
