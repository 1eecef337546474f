#include "http/query.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <optional>
#include <system_error>

namespace bluebell {

std::string percentEncode(std::string_view text)
{
    constexpr std::string_view Digits = "0123456789ABCDEF";
    constexpr std::string_view Unreserved = "-_.~";
    std::string it;
    for (const unsigned char c : text) {
        if (std::isalnum(c) != 0 || Unreserved.find(static_cast<char>(c)) != std::string::npos) {
            it.push_back(static_cast<char>(c));
            continue;
        }
        it.push_back('%');
        it.push_back(Digits[c >> 4U]);
        it.push_back(Digits[c & 15U]);
    }
    return it;
}

namespace {

/// \returns the byte that the escape at the beginning of `text` stands for, if there is one
std::optional<char> escapedByte(std::string_view text)
{
    constexpr std::size_t Length = 3;
    if (text.size() < Length || text.front() != '%')
        return std::nullopt;
    unsigned byte = 0;
    const auto *end = text.data() + Length;
    const auto [it, ec] = std::from_chars(text.data() + 1, end, byte, 16);
    if (ec != std::errc {} || it != end)
        return std::nullopt;
    return static_cast<char>(byte);
}

} // namespace

std::string percentDecode(std::string_view text)
{
    std::string it;
    while (!text.empty()) {
        const auto byte = escapedByte(text);
        it.push_back(byte.value_or(text.front()));
        text.remove_prefix(byte ? 3 : 1);
    }
    return it;
}

std::string_view pathWithoutQuery(std::string_view path)
{
    return path.substr(0, path.find('?'));
}

std::string queryParameter(std::string_view path, std::string_view name)
{
    auto query = path.substr(std::min(path.find('?'), path.size()));
    while (!query.empty()) {
        query.remove_prefix(1);
        const auto end = std::min(query.find('&'), query.size());
        const auto item = query.substr(0, end);
        const auto equals = std::min(item.find('='), item.size());
        if (item.substr(0, equals) == name)
            return percentDecode(item.substr(std::min(equals + 1, item.size())));
        query.remove_prefix(end);
    }
    return {};
}

} // namespace bluebell
