#pragma once

#include "core/ids.h"

#include <cstdint>
#include <string>
#include <string_view>

/// \file
/// SHA-256 digests, random identifiers and stable hashes.

namespace bluebell {

/// \returns the SHA-256 of `data` as 64 hexadecimal digits
[[nodiscard]] std::string sha256Hex(std::string_view data);

/// \returns the digest that identifies `key` in the rule file
[[nodiscard]] KeyDigest digestOfKey(std::string_view key);

/// Compares two digests in constant time, so that the duration does not reveal where they differ.
[[nodiscard]] bool equalInConstantTime(const KeyDigest &a, const KeyDigest &b) noexcept;

/// \returns `bytes` cryptographically secure random bytes, as hexadecimal digits
[[nodiscard]] std::string randomHex(std::size_t bytes);

/// \returns the 64-bit FNV-1a hash of `data` with a mixing finaliser; equal on every machine
[[nodiscard]] std::uint64_t stableHash(std::string_view data) noexcept;

/// \returns the score of `member` for `role` in rendezvous hashing; the highest score wins
[[nodiscard]] std::uint64_t rendezvousScore(std::string_view role,
                                            std::string_view member) noexcept;

} // namespace bluebell
