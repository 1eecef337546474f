#include "http/message.h"

#include <algorithm>
#include <cctype>

namespace bluebell {
namespace {

bool equalWithoutCase(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) {
        return std::tolower(x) == std::tolower(y);
    });
}

std::string_view findHeader(const std::vector<HttpHeader> &headers, std::string_view name)
{
    for (const auto &it : headers)
        if (equalWithoutCase(it.name, name))
            return it.value;
    return {};
}

} // namespace

std::string_view HttpRequest::header(std::string_view name) const
{
    return findHeader(headers, name);
}

std::string_view HttpResponse::header(std::string_view name) const
{
    return findHeader(headers, name);
}

} // namespace bluebell
