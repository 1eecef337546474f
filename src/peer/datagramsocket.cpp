#include "peer/datagramsocket.h"

#include "io/background.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace asio = boost::asio;
using asio::ip::udp;

namespace bluebell {
namespace detail {

/// The socket. Its receive coroutine keeps it alive.
class DatagramReceiver : public std::enable_shared_from_this<DatagramReceiver>
{
public:
    DatagramReceiver(const asio::any_io_executor &executor, DatagramSocket::Handler handler)
        : m_socket(executor), m_handler(std::move(handler))
    {
    }

    Result<void> open(const Endpoint &local);
    void send(const Endpoint &peer, std::string_view bytes);
    void close();

private:
    static asio::awaitable<void> receive(std::shared_ptr<DatagramReceiver> self);

    udp::socket m_socket;
    DatagramSocket::Handler m_handler;
};

Result<void> DatagramReceiver::open(const Endpoint &local)
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
    spawnLoop(m_socket.get_executor(), "receive datagrams",
              [self = shared_from_this()] { return receive(self); });
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

asio::awaitable<void> DatagramReceiver::receive(std::shared_ptr<DatagramReceiver> self)
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
        const auto bytes = std::string_view(buf).substr(0, n);
        runGuarded("datagram", [&] { self->m_handler(bytes, from.address().to_string()); });
    }
}

void DatagramReceiver::send(const Endpoint &peer, std::string_view bytes)
{
    boost::system::error_code ec;
    const udp::endpoint to(asio::ip::make_address(peer.host, ec), peer.port);
    // Errors are ignored: delivery of datagrams is not guaranteed anyway.
    if (!ec)
        m_socket.send_to(asio::buffer(bytes.data(), bytes.size()), to, 0, ec);
}

void DatagramReceiver::close()
{
    boost::system::error_code ec;
    m_socket.close(ec);
}

} // namespace detail

DatagramSocket::DatagramSocket(const asio::any_io_executor &executor, Handler handler)
    : m_receiver(std::make_shared<detail::DatagramReceiver>(executor, std::move(handler)))
{
}

DatagramSocket::~DatagramSocket()
{
    m_receiver->close();
}

Result<void> DatagramSocket::open(const Endpoint &local)
{
    return m_receiver->open(local);
}

void DatagramSocket::send(const Endpoint &peer, std::string_view bytes)
{
    m_receiver->send(peer, bytes);
}

} // namespace bluebell
