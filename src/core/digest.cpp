#include "core/digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

#include <array>
#include <cassert>
#include <vector>

namespace bluebell {
namespace {

std::string toHex(const unsigned char *data, std::size_t size)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string it;
    it.reserve(size * 2);
    for (std::size_t n = 0; n < size; ++n) {
        it.push_back(Digits[data[n] >> 4U]);
        it.push_back(Digits[data[n] & 15U]);
    }
    return it;
}

/// The 64-bit finaliser of MurmurHash3.
constexpr std::uint64_t mix(std::uint64_t value) noexcept
{
    value ^= value >> 33U;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33U;
    value *= 0xc4ceb9fe1a85ec53ULL;
    return value ^ (value >> 33U);
}

} // namespace

std::string sha256Hex(std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> buf {};
    unsigned int n = 0;
    [[maybe_unused]] const int ok =
            EVP_Digest(data.data(), data.size(), buf.data(), &n, EVP_sha256(), nullptr);
    assert(ok == 1);
    return toHex(buf.data(), n);
}

KeyDigest digestOfKey(std::string_view key)
{
    return KeyDigest(sha256Hex(key));
}

bool equalInConstantTime(const KeyDigest &a, const KeyDigest &b) noexcept
{
    const auto &left = a.value();
    const auto &right = b.value();
    return left.size() == right.size()
            && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string randomHex(std::size_t bytes)
{
    std::vector<unsigned char> buf(bytes);
    [[maybe_unused]] const int ok = RAND_bytes(buf.data(), static_cast<int>(bytes));
    assert(ok == 1);
    return toHex(buf.data(), buf.size());
}

std::uint64_t stableHash(std::string_view data) noexcept
{
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char c : data) {
        hash ^= static_cast<unsigned char>(c);
        hash *= 0x100000001b3ULL;
    }
    return mix(hash);
}

std::uint64_t rendezvousScore(std::string_view role, std::string_view member) noexcept
{
    return mix(stableHash(role) ^ (stableHash(member) * 0x9e3779b97f4a7c15ULL));
}

} // namespace bluebell
