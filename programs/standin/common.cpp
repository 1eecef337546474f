#include "standin/common.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace bluebell::standin {
namespace {

std::string urlDecoded(std::string_view text)
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

} // namespace

std::string_view pathOf(std::string_view path)
{
    return path.substr(0, path.find('?'));
}

std::string queryOf(std::string_view path, std::string_view name)
{
    auto query = path.substr(std::min(path.find('?'), path.size()));
    while (!query.empty()) {
        query.remove_prefix(1);
        const auto end = std::min(query.find('&'), query.size());
        const auto item = query.substr(0, end);
        const auto equals = std::min(item.find('='), item.size());
        if (item.substr(0, equals) == name)
            return urlDecoded(item.substr(std::min(equals + 1, item.size())));
        query.remove_prefix(end);
    }
    return {};
}

HttpResponse errorText(unsigned status, std::string_view name)
{
    return jsonResponse(status, { { "error", name } });
}

HttpResponse jsonResponse(unsigned status, const nlohmann::json &body)
{
    HttpResponse response;
    response.status = status;
    response.body = body.dump();
    return response;
}

} // namespace bluebell::standin
