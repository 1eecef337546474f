#include "http/silencewatch.h"

#include <utility>

namespace bluebell::detail {
namespace {

/// Time between two questions to the policy.
constexpr Duration RecheckInterval = std::chrono::milliseconds(100);

} // namespace

SilenceWatch::SilenceWatch(const boost::asio::any_io_executor &executor, SilencePolicy policy,
                           std::function<void()> giveUp)
    : m_timer(executor), m_policy(std::move(policy)), m_giveUp(std::move(giveUp))
{
}

void SilenceWatch::start()
{
    m_isActive = true;
    askAfter(m_policy.limit);
}

void SilenceWatch::stop()
{
    m_isActive = false;
    m_timer.cancel();
}

void SilenceWatch::askAfter(Duration pause)
{
    m_timer.expires_after(pause);
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &ec) {
        if (!ec && self->m_isActive)
            self->ask();
    });
}

void SilenceWatch::noteBytes()
{
    if (m_hasAsked && m_policy.noteEndOfSilence)
        m_policy.noteEndOfSilence();
}

void SilenceWatch::ask()
{
    m_hasAsked = true;
    if (!m_policy.tryGiveUp()) {
        askAfter(RecheckInterval);
        return;
    }
    m_isActive = false;
    m_hasGivenUp = true;
    m_giveUp();
}

} // namespace bluebell::detail
