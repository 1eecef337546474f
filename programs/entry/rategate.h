#pragma once

#include "entry/configview.h"
#include "entry/requestcontext.h"
#include "peer/peernode.h"
#include "rate/grantholder.h"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <string>

/// \file
/// Admits requests within their organisation's rate, by grants of its home and base shares.

namespace bluebell::entry {

class RateGate
{
public:
    /// \param name a prefix for grant ids that no other process has
    RateGate(PeerNode &peers, const ConfigView &config, std::string name);

    /// Sends reports to homes until stop() is called.
    boost::asio::awaitable<void> run();
    void stop() noexcept { m_isStopping = true; }

    /// Reserves `context.tokens`.
    ///
    /// \returns RateLimited with the time after which a retry can succeed, or Unavailable
    boost::asio::awaitable<Result<void>> admit(RequestContext &context);

    /// Notes that a request has used `used` tokens so far, so that they are refilled in time.
    void progress(const RequestContext &context, Tokens used);

    /// Settles the reservation of a request, if it has one, with the tokens really used.
    void settle(RequestContext &context, Tokens used);

    /// Sends what is left to report.
    boost::asio::awaitable<void> flush();

private:
    struct SourceKey
    {
        OrganisationId organisation;
        std::uint8_t source = 0;
        friend auto operator<=>(const SourceKey &, const SourceKey &) = default;
    };

    struct Source
    {
        GrantHolder holder;
        /// The source is not asked before this time, after it did not answer.
        TimePoint avoidUntil;
    };

    enum class Asked : std::uint8_t {
        Granted,
        Refused,
        Away,
    };

    struct Attempt
    {
        Asked outcome = Asked::Away;
        std::optional<Duration> retryAfter;
    };

    [[nodiscard]] Source &source(const SourceKey &key);
    [[nodiscard]] std::size_t sourceCount() const;
    [[nodiscard]] bool admitLocally(RequestContext &context, std::uint8_t number);
    boost::asio::awaitable<Attempt> ask(RequestContext &context, std::uint8_t number);
    boost::asio::awaitable<void> report(SourceKey key);
    [[nodiscard]] std::optional<Endpoint> addressOf(const SourceKey &key) const;

    PeerNode &m_peers;
    const ConfigView &m_config;
    std::string m_name;
    std::map<SourceKey, Source> m_sources;
    bool m_isStopping = false;
};

} // namespace bluebell::entry
