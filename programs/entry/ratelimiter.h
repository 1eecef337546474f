#pragma once

#include "entry/configview.h"
#include "entry/requestcontext.h"
#include "peer/peernode.h"
#include "rate/grantholder.h"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <string>

/// \file
/// Rate limiting of organisations by token grants of the rate's home and of its base shares.

namespace bluebell::entry {

/// Admits requests within the token rate of their organisation.
///
/// Tokens come from grant sources: the home of the organisation's rate first, then the holders of
/// its base shares.
class RateLimiter
{
public:
    /// \param name prefix for grant ids; must be unique to this process
    RateLimiter(PeerNode &peers, const ConfigView &config, std::string name);

    /// Sends grant reports to the sources at a fixed interval until stop() is called.
    boost::asio::awaitable<void> run();
    void stop() noexcept { m_isStopping = true; }

    /// Reserves `context.tokens` and sets `context.reservation`.
    ///
    /// \returns RateLimited, with the time after which a retry can succeed if there is one, or
    ///          Unavailable when the home of the rate did not respond in time
    boost::asio::awaitable<Result<void>> admit(RequestContext &context);

    /// Notes that a request has used `used` tokens so far, so that they count as consumed and the
    /// rate refills them before the request ends.
    void noteProgress(const RequestContext &context, Tokens used);

    /// Settles the reservation of a request, if it has one, with the tokens that it used.
    void settle(RequestContext &context, Tokens used);

    /// Sends all grant reports that have changed.
    boost::asio::awaitable<void> flush();

private:
    /// A grant source of an organisation.
    struct SourceKey
    {
        OrganisationId organisation;
        /// 0 for the home of the rate, n for base share n - 1.
        std::uint8_t source = 0;
        friend auto operator<=>(const SourceKey &, const SourceKey &) = default;
    };

    struct Source
    {
        GrantHolder holder;
        /// No grant is requested before this time, after the source did not respond.
        TimePoint backoffUntil;
    };

    enum class GrantOutcome : std::uint8_t {
        Granted,
        Refused,
        /// No holder is known, it did not respond or is not the source any more, or its grant did
        /// not cover the request.
        SourceUnavailable,
    };

    struct GrantAttempt
    {
        GrantOutcome outcome = GrantOutcome::SourceUnavailable;
        /// Set by a refusal when a later retry can succeed.
        std::optional<Duration> retryAfter;
    };

    [[nodiscard]] Source &source(const SourceKey &key);
    [[nodiscard]] std::size_t sourceCount() const;
    /// Reserves from the grants already held.
    [[nodiscard]] bool admitLocally(RequestContext &context, std::uint8_t sourceNumber);
    boost::asio::awaitable<GrantAttempt> requestGrant(RequestContext &context,
                                                      std::uint8_t sourceNumber);
    /// Sends one source the reports of its grants that have changed.
    boost::asio::awaitable<void> sendReports(SourceKey key);
    [[nodiscard]] std::optional<Endpoint> addressOf(const SourceKey &key) const;

    PeerNode &m_peers;
    const ConfigView &m_config;
    std::string m_name;
    std::map<SourceKey, Source> m_sources;
    bool m_isStopping = false;
};

} // namespace bluebell::entry
