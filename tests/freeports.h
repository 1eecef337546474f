#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cstdint>
#include <stdexcept>

/// \file
/// Unused ports of the loopback interface for tests that run side by side.
///
/// Ports chosen by the system are not used: it may return the same port twice, or assign it to a
/// connection of another test before the gateway listens on it.

namespace bluebell::testing {

/// A range of ports that no other process uses.
///
/// Processes whose ids follow each other begin to look at ranges that do not overlap. A port that
/// one process has chosen and not yet opened looks free to all others, so the range is claimed: its
/// first port stays bound as long as the object exists.
class PortRange
{
public:
    /// The ports that the system chooses begin at 32768.
    static constexpr int FirstPort = 12000;
    static constexpr int EndPort = 32000;
    /// The largest fleet of a test, 21 gateways, takes 126 ports.
    static constexpr int PortsPerRange = 250;
    static constexpr int Ranges = (EndPort - FirstPort) / PortsPerRange;

    /// Claims the range of the process, or the next one that is not claimed.
    explicit PortRange(int processId) : m_claim(m_context)
    {
        for (int n = 0; n < Ranges; ++n) {
            m_first = FirstPort + (processId + n) % Ranges * PortsPerRange;
            if (claim())
                return;
        }
        throw std::runtime_error("all port ranges are claimed");
    }

    [[nodiscard]] int first() const noexcept { return m_first; }

    /// \returns the first of `count` consecutive unused ports
    ///
    /// No port is returned twice before all ports of the range have been returned.
    std::uint16_t take(int count)
    {
        for (int tried = 0; tried < PortsPerRange; ++tried) {
            if (m_next + count > PortsPerRange)
                m_next = 1;
            const int port = m_first + m_next;
            int n = 0;
            while (n < count && isFree(port + n))
                ++n;
            m_next += std::min(n + 1, count);
            if (n == count)
                return static_cast<std::uint16_t>(port);
        }
        throw std::runtime_error("no consecutive ports of the range are free");
    }

private:
    using Tcp = boost::asio::ip::tcp;
    using Udp = boost::asio::ip::udp;

    template<typename Protocol>
    static typename Protocol::endpoint endpoint(int port)
    {
        return { boost::asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port) };
    }

    bool claim()
    {
        boost::system::error_code ec;
        m_claim.open(Tcp::v4(), ec);
        // A process that the test starts must not keep the claim.
        ::fcntl(m_claim.native_handle(), F_SETFD, FD_CLOEXEC);
        m_claim.bind(endpoint<Tcp>(m_first), ec);
        if (ec)
            m_claim.close();
        return !ec;
    }

    /// \returns whether a daemon can open the port, for connections or for datagrams
    bool isFree(int port)
    {
        boost::system::error_code ec;
        Tcp::acceptor acceptor(m_context);
        acceptor.open(Tcp::v4(), ec);
        // Like the daemons, so that connections of an earlier test that have ended do not matter.
        acceptor.set_option(Tcp::acceptor::reuse_address(true), ec);
        acceptor.bind(endpoint<Tcp>(port), ec);
        Udp::socket socket(m_context);
        boost::system::error_code udpError;
        socket.open(Udp::v4(), udpError);
        socket.bind(endpoint<Udp>(port), udpError);
        return !ec && !udpError;
    }

    boost::asio::io_context m_context;
    Tcp::acceptor m_claim;
    int m_first = 0;
    /// Offset of the next port to try. The first port holds the claim.
    int m_next = 1;
};

/// \returns the first of `count` consecutive unused ports in the range of this process
inline std::uint16_t freePorts(int count)
{
    static PortRange range(::getpid());
    return range.take(count);
}

/// \returns an unused port in the range of this process
inline std::uint16_t freePort()
{
    return freePorts(1);
}

} // namespace bluebell::testing
