#include "http/query.h"

#include <algorithm>
#include <cctype>
#include <charconv>
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

std::string percentDecode(std::string_view text)
{
    std::string it;
    for (std::size_t n = 0; n < text.size(); ++n) {
        unsigned byte = 0;
        const bool isEscape = text[n] == '%' && n + 2 < text.size()
                && std::from_chars(text.data() + n + 1, text.data() + n + 3, byte, 16).ec
                        == std::errc {};
        it.push_back(isEscape ? static_cast<char>(byte) : text[n]);
        n += isEscape ? 2 : 0;
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
