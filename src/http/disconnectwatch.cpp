#include "http/disconnectwatch.h"

#include <utility>

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace bluebell::detail {

void DisconnectWatch::start(std::shared_ptr<CancelSource> source,
                            const std::shared_ptr<void> &owner)
{
    m_source = std::move(source);
    wait(owner);
}

void DisconnectWatch::wait(const std::shared_ptr<void> &owner)
{
    m_socket.async_wait(tcp::socket::wait_read,
                        [this, owner, source = m_source](const boost::system::error_code &ec) {
                            if (ec || m_source != source)
                                return;
                            if (!hasCallerClosed(owner))
                                return;
                            m_onClosed();
                            source->cancel();
                        });
}

bool DisconnectWatch::hasCallerClosed(const std::shared_ptr<void> &owner)
{
    char c = 0;
    boost::system::error_code ec;
    const auto n = m_socket.receive(asio::buffer(&c, 1), tcp::socket::message_peek, ec);
    if (ec == asio::error::would_block) {
        // Woken without input.
        wait(owner);
        return false;
    }
    // Bytes are a pipelined request.
    return ec || n == 0;
}

void DisconnectWatch::stop()
{
    if (!m_source)
        return;
    m_source.reset();
    boost::system::error_code ec;
    m_socket.cancel(ec);
}

} // namespace bluebell::detail
