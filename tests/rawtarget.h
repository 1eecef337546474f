#pragma once

#include "core/endpoint.h"
#include "io/notifier.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <string>

/// \file
/// A plain target whose responses a test writes byte by byte.

namespace bluebell::testing {

/// Responds to one request on each connection, and then closes it.
class RawTarget
{
public:
    /// Returns the bytes of the response to an attempt.
    using Respond = std::function<std::string(const std::string &attempt)>;

    RawTarget(boost::asio::io_context &context, Respond respond)
        : m_acceptor(context, { boost::asio::ip::make_address("127.0.0.1"), 0 }),
          m_respond(std::move(respond))
    {
        boost::asio::co_spawn(context, run(), boost::asio::detached);
    }

    [[nodiscard]] Endpoint address() const
    {
        return { "127.0.0.1", m_acceptor.local_endpoint().port() };
    }

    /// \returns the target's entry in the store
    [[nodiscard]] std::string entry(const std::string &service) const
    {
        return nlohmann::json {
            { "born", 1000 },        { "Sequence", 1 },
            { "Service", service },  { "Address", toString(address()) },
            { "Zone", "leicester" }, { "Version", "v1" },
            { "Slots", 64 },         { "State", "ready" },
            { "ColdLeftMs", 0 }
        }.dump();
    }

    /// Requests of callers that have arrived.
    std::size_t requests = 0;
    /// Time before a response.
    Duration delay {};

private:
    using Socket = boost::asio::ip::tcp::socket;
    static constexpr auto Await = boost::asio::as_tuple(boost::asio::use_awaitable);

    boost::asio::awaitable<void> run()
    {
        for (;;) {
            auto [ec, socket] = co_await m_acceptor.async_accept(Await);
            if (ec)
                co_return;
            boost::asio::co_spawn(m_acceptor.get_executor(), respond(std::move(socket)),
                                  boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> respond(Socket socket)
    {
        std::string request(4096, '\0');
        const auto [readError, n] =
                co_await socket.async_read_some(boost::asio::buffer(request), Await);
        if (readError)
            co_return;
        request.resize(n);
        const std::string name = "X-Attempt-Id: ";
        const auto position = request.find(name);
        std::string attempt;
        if (position != std::string::npos) {
            ++requests;
            const auto begin = position + name.size();
            attempt = request.substr(begin, request.find('\r', begin) - begin);
        }
        co_await sleepFor(delay);
        const auto text = m_respond(attempt);
        (void)co_await boost::asio::async_write(socket, boost::asio::buffer(text), Await);
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
    Respond m_respond;
};

} // namespace bluebell::testing
