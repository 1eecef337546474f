#pragma once

#include <cstdint>

/// \file
/// Versions of the platform's store and its eras.

namespace bluebell {

/// Number of times that the store has come back from an older copy of its data; 0 if unknown.
using StoreEra = std::uint64_t;

/// Version of a row or of a whole table of the store; 0 stands for an absent row.
///
/// It consists of the store's era and the version that the store has given. The store gives
/// versions out again after it has come back from a copy, but with a new era, so versions only
/// rise.
using RowVersion = std::uint64_t;

/// Bits of a RowVersion that hold the store's own version.
inline constexpr unsigned StoreVersionBits = 40;
/// The largest version that the store can give, and the largest era.
inline constexpr std::uint64_t MaxStoreVersion = (std::uint64_t(1) << StoreVersionBits) - 1;
inline constexpr StoreEra MaxStoreEra = (StoreEra(1) << 20U) - 1;

/// \param version the store's own version; 0, for an absent row, is the same in all eras
[[nodiscard]] constexpr RowVersion makeRowVersion(StoreEra era, std::uint64_t version) noexcept
{
    return version == 0 ? 0 : (era << StoreVersionBits) | version;
}

[[nodiscard]] constexpr StoreEra eraOf(RowVersion version) noexcept
{
    return version >> StoreVersionBits;
}

/// \returns the store's own version
[[nodiscard]] constexpr std::uint64_t storeVersionOf(RowVersion version) noexcept
{
    return version & MaxStoreVersion;
}

} // namespace bluebell
