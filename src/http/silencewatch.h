#pragma once

#include "http/message.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

/// \file
/// Watches an exchange in which the server sends nothing.

namespace bluebell::detail {

/// Asks a SilencePolicy whether to give up, until stopped.
class SilenceWatch : public std::enable_shared_from_this<SilenceWatch>
{
public:
    /// \param giveUp ends the exchange
    SilenceWatch(const boost::asio::any_io_executor &executor, SilencePolicy policy,
                 std::function<void()> giveUp);

    /// Starts to watch; the silence begins now.
    void start();
    /// Stops watching, because bytes have arrived or the exchange has ended.
    void stop();
    /// Tells the policy that the silence has ended with bytes.
    void noteBytes();
    /// \returns whether the exchange was given up
    [[nodiscard]] bool hasGivenUp() const noexcept { return m_hasGivenUp; }

private:
    void askAfter(Duration pause);
    void ask();

    boost::asio::steady_timer m_timer;
    SilencePolicy m_policy;
    std::function<void()> m_giveUp;
    bool m_isActive = false;
    bool m_hasAsked = false;
    bool m_hasGivenUp = false;
};

} // namespace bluebell::detail
