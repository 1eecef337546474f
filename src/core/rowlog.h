#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

/// \file
/// A table that is replicated between daemons by its changes.

namespace bluebell {

/// Changes of a table. A replica whose state includes version `base` is at version `number` after
/// applying them.
template<typename Key, typename Row>
struct RowChanges
{
    /// 0 for a snapshot, which contains all rows.
    std::uint64_t base = 0;
    std::uint64_t number = 0;
    /// The changed rows by key; empty for a removed row.
    std::map<Key, std::optional<Row>> rows;
    /// RowLog::checksum() of the sender at `number`; 0 if unknown.
    std::uint64_t checksum = 0;

    [[nodiscard]] bool isSnapshot() const noexcept { return base == 0 && number > 0; }
};

/// The rows of a table, each with the version of its last change.
///
/// A daemon that reads the table itself passes on its changes; the others apply them. Changes from
/// several daemons may be applied in any order and more than once: the newest version of a row
/// wins.
///
/// A row that changes and changes back between two readings of one daemon, but not of another,
/// would be missing in the first one's changes. The checksum of all rows shows such a difference.
///
/// \tparam Row compared with `==` to tell whether a row has changed; `contentHash(key, row)` must
///         return a hash of what is compared
template<typename Key, typename Row>
class RowLog
{
public:
    using Keys = std::set<Key>;
    using Changes = RowChanges<Key, Row>;

    /// Number of removed rows that are remembered. Changes since an earlier version can only be
    /// passed on as a snapshot.
    static constexpr std::size_t MaxRemovedRows = 512;

    // Events.

    /// Stores a row as of `version`, or its removal if `row` is empty.
    ///
    /// \returns whether the row differs from the known one
    bool put(const Key &key, std::optional<Row> row, std::uint64_t version)
    {
        return store(key, std::move(row), version, false);
    }

    /// Stores a row that was written at `version`, also if it is the same as before.
    ///
    /// \returns whether the row differs from the known one
    bool putWritten(const Key &key, std::optional<Row> row, std::uint64_t version)
    {
        return store(key, std::move(row), version, true);
    }

    /// Notes that the table has been read up to `version`.
    void advanceTo(std::uint64_t version)
    {
        if (version < m_version)
            return;
        m_version = version;
        if (m_gap && m_gap->base <= m_version) {
            m_version = std::max(m_version, m_gap->number);
            m_gap.reset();
        }
    }

    /// Replaces all rows by those of the table at `version`; rows that changed later are kept.
    ///
    /// \returns the keys of the rows that differ from the known ones
    Keys replaceAll(const std::map<Key, Row> &rows, std::uint64_t version)
    {
        Keys changed;
        for (const auto &[key, row] : rows)
            if (put(key, row, version))
                changed.insert(key);
        Keys missing;
        for (const auto &[key, known] : m_rows)
            if (known.row && !rows.contains(key))
                missing.insert(key);
        for (const auto &key : missing)
            if (put(key, std::nullopt, version))
                changed.insert(key);
        advanceTo(version);
        m_hasDiverged = false;
        verify();
        return changed;
    }

    /// Applies the changes that another daemon has sent.
    ///
    /// When changes are missing in between, the rows are applied nevertheless, and isBehind() tells
    /// that a snapshot is needed.
    ///
    /// \returns the keys of the rows that differ from the known ones
    Keys apply(const Changes &changes)
    {
        if (changes.checksum != 0)
            m_expected[changes.number] = changes.checksum;
        if (changes.isSnapshot())
            return changes.number < m_version ? Keys()
                                              : replaceAll(rowsOf(changes), changes.number);
        Keys changed;
        if (changes.number > m_version)
            changed = applyDelta(changes);
        verify();
        return changed;
    }

    // Queries.

    /// \returns the version up to which the rows are complete; 0 before the first read
    [[nodiscard]] std::uint64_t version() const noexcept { return m_version; }
    /// \returns whether changes are missing, so that a snapshot is needed
    [[nodiscard]] bool isBehind() const noexcept { return m_gap || m_hasDiverged; }
    /// \returns a hash of all rows
    [[nodiscard]] std::uint64_t checksum() const noexcept { return m_checksum; }
    /// \returns the row, or null
    [[nodiscard]] const Row *find(const Key &key) const
    {
        const auto it = m_rows.find(key);
        return it == m_rows.end() || !it->second.row ? nullptr : &*it->second.row;
    }
    /// \returns the rows that changed after `base`, or a snapshot if that is 0 or too long ago
    [[nodiscard]] Changes changesSince(std::uint64_t base) const
    {
        Changes changes { base < m_forgottenUpTo ? 0 : base, m_version, {}, m_checksum };
        for (const auto &[key, it] : m_rows)
            if (changes.base == 0 ? it.row.has_value() : it.changedAt > changes.base)
                changes.rows.emplace(key, it.row);
        return changes;
    }

private:
    struct Versioned
    {
        std::optional<Row> row;
        std::uint64_t changedAt = 0;
        /// Newest version at which the row is known.
        std::uint64_t confirmedAt = 0;
    };

    struct Gap
    {
        /// The changes up to this version are missing.
        std::uint64_t base = 0;
        std::uint64_t number = 0;
    };

    static constexpr std::size_t MaxExpected = 64;

    [[nodiscard]] static std::map<Key, Row> rowsOf(const Changes &snapshot)
    {
        std::map<Key, Row> rows;
        for (const auto &[key, row] : snapshot.rows)
            if (row)
                rows.emplace(key, *row);
        return rows;
    }

    Keys applyDelta(const Changes &changes)
    {
        Keys changed;
        for (const auto &[key, row] : changes.rows) {
            // The sender says that the row was written after `base`.
            const auto known = m_rows.find(key);
            const bool isWritten = known != m_rows.end() && known->second.changedAt <= changes.base;
            if (store(key, row, changes.number, isWritten))
                changed.insert(key);
        }
        if (changes.base <= m_version)
            advanceTo(changes.number);
        else
            noteGap(changes.base, changes.number);
        return changed;
    }

    void verify()
    {
        m_expected.erase(m_expected.begin(), m_expected.lower_bound(m_version));
        if (m_expected.size() > MaxExpected)
            m_expected.erase(m_expected.begin());
        if (const auto it = m_expected.find(m_version); it != m_expected.end())
            m_hasDiverged = it->second != m_checksum;
    }

    bool store(const Key &key, std::optional<Row> row, std::uint64_t version, bool isWritten)
    {
        const auto [it, isNew] = m_rows.try_emplace(key, Versioned { {}, version, version });
        auto &known = it->second;
        if (version < known.confirmedAt)
            return false;
        known.confirmedAt = version;
        const bool isSame = known.row == row;
        m_checksum ^= hashOf(key, known.row) ^ hashOf(key, row);
        known.row = std::move(row);
        if (isSame && !isNew && !isWritten)
            return false;
        known.changedAt = version;
        if (!known.row)
            m_removed.emplace(version, key);
        forgetRemovals();
        return !isSame;
    }

    [[nodiscard]] static std::uint64_t hashOf(const Key &key, const std::optional<Row> &row)
    {
        return row ? contentHash(key, *row) : 0;
    }

    void noteGap(std::uint64_t base, std::uint64_t number)
    {
        const bool isAdjacent = m_gap && base <= m_gap->number && number >= m_gap->base;
        if (isAdjacent)
            m_gap = Gap { std::min(base, m_gap->base), std::max(number, m_gap->number) };
        else if (!m_gap || number > m_gap->number)
            m_gap = Gap { base, number };
    }

    void forgetRemovals()
    {
        while (m_removed.size() > MaxRemovedRows) {
            const auto [version, key] = *m_removed.begin();
            m_removed.erase(m_removed.begin());
            const auto it = m_rows.find(key);
            if (it != m_rows.end() && !it->second.row && it->second.changedAt == version)
                m_rows.erase(it);
            m_forgottenUpTo = version;
        }
    }

    std::map<Key, Versioned> m_rows;
    /// Removed rows by the version of their removal, the oldest first.
    std::set<std::pair<std::uint64_t, Key>> m_removed;
    std::uint64_t m_version = 0;
    /// Removals up to this version may have been forgotten.
    std::uint64_t m_forgottenUpTo = 0;
    /// Changes that were applied although earlier ones are missing.
    std::optional<Gap> m_gap;
    /// Never 0 for an empty table, since 0 means unknown.
    std::uint64_t m_checksum = 1;
    /// Checksums that other daemons have sent, by version.
    std::map<std::uint64_t, std::uint64_t> m_expected;
    /// Whether the rows differ from the sender's at the same version.
    bool m_hasDiverged = false;
};

} // namespace bluebell
