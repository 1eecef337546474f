#include "soakchecks.h"

#include <fmt/core.h>

#include <algorithm>
#include <fstream>

namespace bluebell::testing {
namespace {

using namespace std::chrono_literals;

/// Time by which a configuration is in force everywhere, also beside a disruption.
constexpr Duration ConfigTime = 2s;
constexpr Duration DisruptedConfigTime = 7s;
/// Time after a disruption in which its effects may last.
constexpr Duration StableWindow = 3s;
/// Longest time between the end of a request and a close that crossed it.
constexpr Duration CrossingTime = 200ms;
/// A request that is sent later than this after SIGTERM is not cut by the end of the stop.
constexpr Duration LateInStop = 3s;

std::string_view nameOf(TargetStep step)
{
    constexpr std::array<std::string_view, 5> Names { "received", "refused", "executing",
                                                      "finished", "disconnected" };
    return Names.at(static_cast<std::size_t>(step));
}

std::string expectedStream()
{
    std::string text;
    for (int n = 1; n <= SoakEvents; ++n)
        text += "id: " + std::to_string(n) + "\ndata: t\n\n";
    return text;
}

/// Checks one request of a record.
class Check
{
public:
    Check(const SoakRecord &record, const SoakRequest &request)
        : m_record(record), m_request(request), m_exchange(request.exchange)
    {
        const auto &versions = record.versions;
        for (std::size_t n = 0; n < versions.size(); ++n) {
            const bool isLast = n + 1 == versions.size();
            if (versions[n].putAt <= m_exchange.endedAt
                && (isLast || mayLastUntil(versions[n + 1].putAt) >= m_exchange.beganAt))
                m_versions.push_back(&versions[n]);
        }
    }

    /// \returns what is wrong, or an empty string
    [[nodiscard]] std::string run(SoakResult &result) const
    {
        if (!m_request.isIdempotent() && countOf(TargetStep::Executing) > 1)
            return "not idempotent, and executed more than once";
        if (m_exchange.cause.starts_with("malformed") || m_exchange.cause.starts_with("bytes"))
            return m_exchange.cause;
        if (m_exchange.isComplete) {
            const auto status = m_exchange.response.status;
            ++result.statuses[status];
            const auto age = m_exchange.endedAt - m_exchange.beganAt;
            if ((status == 502 || status == 504) && age < m_request.deadline / 2)
                ++result.notes["502 or 504 in the first half of the time"];
            return checkResponse();
        }
        if (!m_exchange.isWhole)
            return {};
        if (const auto excuse = excuseOfMissing(); !excuse.empty()) {
            ++result.notes[excuse];
            return {};
        }
        const auto left =
                toMilliseconds(m_exchange.beganAt + m_request.deadline - m_exchange.endedAt);
        return fmt::format("{}, {} ms before the caller's deadline",
                           m_exchange.hasResponseBytes ? "the response was cut" : "no response",
                           left.count());
    }

    [[nodiscard]] std::string describe(const std::string &what) const;

private:
    /// \returns when the version before the one that was put at `putAt` is out of force
    [[nodiscard]] TimePoint mayLastUntil(TimePoint putAt) const
    {
        const bool isDisrupted = std::any_of(
                m_record.disruptions.begin(), m_record.disruptions.end(), [&](const auto &it) {
                    const bool concerns =
                            it.gateway == m_request.gateway || it.gateway == SoakGateways;
                    return it.delaysConfig && concerns && it.begin <= m_exchange.endedAt
                            && it.end + StableWindow >= putAt;
                });
        return putAt + (isDisrupted ? DisruptedConfigTime : ConfigTime);
    }

    template<typename Predicate>
    [[nodiscard]] bool anyVersion(Predicate predicate) const
    {
        return std::any_of(m_versions.begin(), m_versions.end(),
                           [&](const auto *it) { return predicate(*it); });
    }

    [[nodiscard]] long countOf(TargetStep step) const
    {
        const auto it = m_record.steps.find(m_request.id);
        if (it == m_record.steps.end())
            return 0;
        return std::count_if(it->second.begin(), it->second.end(),
                             [&](const auto &at) { return at.step == step; });
    }

    [[nodiscard]] bool mayLackKey() const
    {
        return anyVersion([this](const auto &it) { return !it.keys.contains(m_request.key); });
    }

    [[nodiscard]] std::string checkResponse() const
    {
        const auto &response = m_exchange.response;
        if (response.header("X-Attempt-Id") != m_request.id
            && (response.status == 200 || !response.header("X-Attempt-Id").empty()))
            return "the response of another attempt";
        switch (response.status) {
        case 200:
            return checkSuccess();
        case 401:
            return mayLackKey() ? "" : "401 although every version has the key";
        case 404: {
            const bool isAllowed = anyVersion([this](const auto &it) {
                return !it.timeouts.contains(m_request.route)
                        || (m_request.isStream() && !it.models.contains(m_request.model));
            });
            return isAllowed ? "" : "404 although every version has the route and the model";
        }
        case 408:
        case 421:
        case 429:
        case 503:
            return checkPromise();
        case 502:
        case 504:
            return {};
        default:
            return "unexpected status";
        }
    }

    /// \returns the target whose signature the response bears, or an empty string
    [[nodiscard]] std::string signer() const
    {
        constexpr std::string_view Seal = "seal-of-";
        const auto seal = m_exchange.response.header("X-Server-Seal");
        return seal.starts_with(Seal) ? std::string(seal.substr(Seal.size())) : std::string();
    }

    [[nodiscard]] std::string checkPromise() const
    {
        if (countOf(TargetStep::Executing) == 0)
            return {};
        // The status of a target is passed on unchanged to callers that may repeat the request.
        const bool isTargetsOwn = m_request.isIdempotent() && !signer().empty();
        if (!isTargetsOwn)
            return "refused, but it was executed";
        return m_exchange.response.body == "answer of " + signer() ? ""
                                                                   : "a failure with another body";
    }

    [[nodiscard]] std::string checkSuccess() const
    {
        const auto target = signer();
        if (target.empty() || countOf(TargetStep::Executing) == 0)
            return "a success that no target gave";
        const auto body = m_request.isStream() ? expectedStream() : "answer of " + target;
        return m_exchange.response.body == body ? "" : "a success with another body";
    }

    /// \returns why the response may be missing or cut, or an empty string
    [[nodiscard]] std::string excuseOfMissing() const
    {
        const auto age = m_exchange.endedAt - m_exchange.beganAt;
        if (age >= m_request.deadline)
            return "deadline";
        const auto isOver = [&](const auto &it) {
            const auto timeout = it.timeouts.find(m_request.route);
            return timeout != it.timeouts.end() && age >= timeout->second;
        };
        if (anyVersion(isOver))
            return "timeout";
        if (mayLackKey() && age >= m_request.deadline * 7 / 10)
            return "withdrawn key";
        for (const auto stop : m_record.stops.at(m_request.gateway))
            if (m_exchange.sentAt <= stop + LateInStop
                && m_exchange.endedAt >= stop + Duration(SoakGracePeriod) * 5 / 6
                && m_exchange.beganAt <= stop + SoakGracePeriod)
                return "end of a stop";
        // A suspended process can't read a request before it is resumed.
        auto readableAt = m_exchange.sentAt;
        for (const auto resume : m_record.resumes.at(m_request.gateway))
            if (resume <= m_exchange.endedAt)
                readableAt = std::max(readableAt, resume);
        if (m_exchange.hasResponseBytes || countOf(TargetStep::Received) > 0
            || m_exchange.endedAt - readableAt > CrossingTime)
            return {};
        return m_exchange.endedAt - m_exchange.sentAt <= CrossingTime
                ? "crossed a close"
                : "closed unread after a suspension";
    }

    const SoakRecord &m_record;
    const SoakRequest &m_request;
    const Exchange &m_exchange;
    /// The versions that may be in force during the request.
    std::vector<const SoakVersion *> m_versions;
};

std::string Check::describe(const std::string &what) const
{
    auto text = fmt::format(
            "seed {}, {}: request {} to gateway {} (/{}/, {}, {}, deadline {} ms, {} connection, "
            "port {}): {}\n  status {}, {} body bytes, cause '{}', sent at {}, ended at {}\n",
            m_record.seed, m_record.secondsAt(m_exchange.beganAt), m_request.id, m_request.gateway,
            m_request.route, m_request.key, m_request.model,
            toMilliseconds(m_request.deadline).count(), m_exchange.isReused ? "kept" : "new",
            m_exchange.localPort, what, m_exchange.response.status, m_exchange.response.body.size(),
            m_exchange.cause, m_record.secondsAt(m_exchange.sentAt),
            m_record.secondsAt(m_exchange.endedAt));
    if (const auto it = m_record.steps.find(m_request.id); it != m_record.steps.end())
        for (const auto &step : it->second)
            text += fmt::format("  {} {} at {}\n", m_record.secondsAt(step.at), nameOf(step.step),
                                step.target);
    for (const auto &it : m_record.disruptions)
        if (it.end + StableWindow >= m_exchange.beganAt && it.begin <= m_exchange.endedAt)
            text += fmt::format(
                    "  {} to {}, {}: {}\n", m_record.secondsAt(it.begin),
                    m_record.secondsAt(it.end),
                    it.gateway == SoakGateways ? "all" : "gateway " + std::to_string(it.gateway),
                    it.text);
    std::ifstream log(m_record.logFiles.at(m_request.gateway));
    for (std::string line; std::getline(log, line);)
        if (line.find('"' + m_request.id + '"') != std::string::npos)
            text += "  " + line + '\n';
    return text;
}

} // namespace

std::string SoakRecord::secondsAt(TimePoint at) const
{
    return fmt::format("{:.3f} s", toSeconds(at - startedAt));
}

SoakResult checkSoak(const SoakRecord &record)
{
    SoakResult result;
    result.violations = record.violations;
    for (const auto &it : record.requests) {
        ++result.requests;
        result.reused += it.exchange.isReused ? 1 : 0;
        const Check check(record, it);
        if (const auto what = check.run(result); !what.empty())
            result.violations.push_back(check.describe(what));
    }
    return result;
}

} // namespace bluebell::testing
