#include "http/message.h"

#include <algorithm>
#include <cctype>

namespace bluebell {
namespace {

bool equalsIgnoreCase(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) {
        return std::tolower(x) == std::tolower(y);
    });
}

std::string_view findHeader(const std::vector<HttpHeader> &headers, std::string_view name)
{
    for (const auto &it : headers)
        if (equalsIgnoreCase(it.name, name))
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

CancelSource::Registration CancelSource::add(std::function<void()> action)
{
    if (m_isCancelled) {
        action();
        return 0;
    }
    const auto registration = m_nextRegistration++;
    m_actions.emplace(registration, std::move(action));
    return registration;
}

void CancelSource::remove(Registration registration)
{
    m_actions.erase(registration);
}

void CancelSource::cancel()
{
    m_isCancelled = true;
    auto actions = std::move(m_actions);
    m_actions.clear();
    for (const auto &[registration, action] : actions)
        action();
}

} // namespace bluebell
