#pragma once

#include "core/ids.h"

#include <cstdint>
#include <string>
#include <string_view>

/// \file
/// Digests, random names and stable hashes.

namespace bluebell {

/// \returns the SHA-256 of `data` as 64 hexadecimal digits
[[nodiscard]] std::string sha256Hex(std::string_view data);

/// \returns the digest under which `key` stands in the rule file
[[nodiscard]] KeyDigest digestOfKey(std::string_view key);

/// Compares two digests in a time that does not depend on where they differ.
[[nodiscard]] bool equalInConstantTime(const KeyDigest &a, const KeyDigest &b) noexcept;

/// \returns `bytes` random bytes from the system's generator, as hexadecimal digits
[[nodiscard]] std::string randomHex(std::size_t bytes);

/// \returns a 64-bit FNV-1a hash with a final mix, the same on every machine
[[nodiscard]] std::uint64_t stableHash(std::string_view data) noexcept;

/// Score of `member` for `role` in rendezvous hashing; the highest score is preferred.
[[nodiscard]] std::uint64_t rendezvousScore(std::string_view role,
                                            std::string_view member) noexcept;

} // namespace bluebell
