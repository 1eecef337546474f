#include "peer/statuslink.h"

#include "core/log.h"
#include "peer/statuscodec.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace asio = boost::asio;
using asio::ip::udp;

namespace bluebell {
namespace detail {

/// The UDP socket. Its receive coroutine keeps it alive.
class StatusSocket : public std::enable_shared_from_this<StatusSocket>
{
public:
    StatusSocket(const asio::any_io_executor &executor, StatusLink::Handler handler)
        : m_socket(executor), m_handler(std::move(handler))
    {
    }

    Result<void> open(const Endpoint &local);
    void send(const std::vector<Endpoint> &peers, const std::string &bytes);
    void close();

private:
    static asio::awaitable<void> receive(std::shared_ptr<StatusSocket> self);

    udp::socket m_socket;
    StatusLink::Handler m_handler;
};

Result<void> StatusSocket::open(const Endpoint &local)
{
    boost::system::error_code ec;
    const auto address = asio::ip::make_address(local.host, ec);
    const udp::endpoint endpoint(address, local.port);
    if (!ec)
        m_socket.open(endpoint.protocol(), ec);
    if (!ec)
        m_socket.bind(endpoint, ec);
    if (!ec)
        m_socket.non_blocking(true, ec);
    if (ec)
        return makeError(ErrorCode::Unavailable,
                         "cannot bind " + toString(local) + ": " + ec.message());
    asio::co_spawn(m_socket.get_executor(), receive(shared_from_this()), asio::detached);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

asio::awaitable<void> StatusSocket::receive(std::shared_ptr<StatusSocket> self)
{
    constexpr std::size_t MaxDatagramBytes = 65536;
    std::string buf(MaxDatagramBytes, '\0');
    udp::endpoint from;
    while (self->m_socket.is_open()) {
        const auto [ec, n] = co_await self->m_socket.async_receive_from(
                asio::buffer(buf), from, asio::as_tuple(asio::use_awaitable));
        if (ec == asio::error::operation_aborted)
            co_return;
        if (ec)
            continue;
        if (auto status = decodeStatus(std::string_view(buf).substr(0, n)); status)
            self->m_handler(status.value());
        else
            log::warning("malformed status received from a peer",
                         { { "peer", from.address().to_string() },
                           { "cause", status.error().message } });
    }
}

void StatusSocket::send(const std::vector<Endpoint> &peers, const std::string &bytes)
{
    for (const auto &peer : peers) {
        boost::system::error_code ec;
        const udp::endpoint to(asio::ip::make_address(peer.host, ec), peer.port);
        // Errors are ignored: delivery of datagrams is not guaranteed anyway.
        if (!ec)
            m_socket.send_to(asio::buffer(bytes), to, 0, ec);
    }
}

void StatusSocket::close()
{
    boost::system::error_code ec;
    m_socket.close(ec);
}

} // namespace detail

StatusLink::StatusLink(const asio::any_io_executor &executor, Handler handler)
    : m_socket(std::make_shared<detail::StatusSocket>(executor, std::move(handler)))
{
}

StatusLink::~StatusLink()
{
    m_socket->close();
}

Result<void> StatusLink::open(const Endpoint &local)
{
    return m_socket->open(local);
}

void StatusLink::send(const std::vector<Endpoint> &peers, const DaemonStatus &status)
{
    m_socket->send(peers, encode(status));
}

} // namespace bluebell
