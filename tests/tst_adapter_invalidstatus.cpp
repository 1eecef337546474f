#include "gatewayfixture.h"
#include "http/client.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <string>

/// Guards against targets in trouble that respond with a status that is not valid, such as 000. The
/// parser accepts any three digits; the exchange must fail, and a caller must never get such a
/// status.

namespace asio = boost::asio;
using asio::ip::tcp;

using namespace bluebell;
using namespace bluebell::testing;
using namespace std::chrono_literals;

namespace {

constexpr auto Await = asio::as_tuple(asio::use_awaitable);

/// Responds to every request with the same status.
class StatusServer
{
public:
    StatusServer(asio::io_context &context, std::string status)
        : m_acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
          m_status(std::move(status))
    {
        asio::co_spawn(context, run(), asio::detached);
    }

    [[nodiscard]] Endpoint address() const
    {
        return { "127.0.0.1", m_acceptor.local_endpoint().port() };
    }
    /// Requests of callers that have arrived.
    std::size_t requests = 0;

private:
    asio::awaitable<void> run()
    {
        for (;;) {
            auto [ec, socket] = co_await m_acceptor.async_accept(Await);
            if (ec)
                co_return;
            asio::co_spawn(m_acceptor.get_executor(), respond(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> respond(tcp::socket socket)
    {
        std::string request(4096, '\0');
        const auto [readError, n] = co_await socket.async_read_some(asio::buffer(request), Await);
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
        const std::string text = "HTTP/1.1 " + m_status + " Odd\r\nX-Attempt-Id: " + attempt
                + "\r\nX-Server-Seal: seal\r\nContent-Type: text/plain\r\nContent-Length: "
                  "2\r\n\r\nok";
        (void)co_await asio::async_write(socket, asio::buffer(text), Await);
    }

    tcp::acceptor m_acceptor;
    std::string m_status;
};

Result<HttpResponse> exchangeWith(const std::string &status)
{
    asio::io_context context;
    StatusServer server(context, status);
    HttpCall call;
    call.endpoint = server.address();
    call.request.method = "GET";
    call.request.path = "/";
    std::optional<Result<HttpResponse>> result;
    const auto exchangeInto = [&result](HttpCall it) -> asio::awaitable<void> {
        result = co_await exchange(std::move(it));
    };
    asio::co_spawn(context, exchangeInto(std::move(call)), asio::detached);
    const auto end = BootClock::now() + 10s;
    while (!result && BootClock::now() < end)
        context.run_one_for(100ms);
    return result.value();
}

const std::vector<std::string> InvalidStatuses = { "000", "001", "099", "100", "101",
                                                   "103", "199", "600", "999" };

class InvalidStatusOfATarget : public GatewayTest
{
protected:
    /// Publishes a plain target that responds with `status`.
    void addTargetWith(const std::string &status)
    {
        setConfig(siteConfig(1, 1));
        server = std::make_unique<StatusServer>(context, status);
        const nlohmann::json it = {
            { "born", 1000 },        { "Sequence", 1 },
            { "Service", "plain" },  { "Address", toString(server->address()) },
            { "Zone", "leicester" }, { "Version", "v1" },
            { "Slots", 64 },         { "State", "ready" },
            { "ColdLeftMs", 0 }
        };
        store.put("servers", "odd", it.dump());
    }

    void expectServerError(const std::string &status)
    {
        addTargetWith(status);
        addGateway("vm-1");
        ASSERT_TRUE(awaitReady(0));
        run(300ms);
        const auto reply = send(0, "/order/x", "key-1");
        ASSERT_TRUE(runUntil([&] { return reply->result.has_value(); }));
        ASSERT_TRUE(*reply->result);
        EXPECT_GE(reply->result->value().status, 500U);
        EXPECT_LE(reply->result->value().status, 599U);
        // It may have run, so it is not sent again.
        EXPECT_EQ(server->requests, 1U);
    }

    std::unique_ptr<StatusServer> server;
};

} // namespace

TEST(InvalidStatus, TheExchangeFailsWithAnUnknownOutcome)
{
    for (const auto &status : InvalidStatuses) {
        const auto result = exchangeWith(status);
        ASSERT_FALSE(result) << status;
        EXPECT_EQ(result.error().execution, Execution::OutcomeUnknown) << status;
    }
}

TEST(InvalidStatus, ValidStatusesPass)
{
    for (const std::string status : { "200", "299", "404", "503", "599" }) {
        const auto result = exchangeWith(status);
        ASSERT_TRUE(result) << status;
        EXPECT_EQ(std::to_string(result.value().status), status);
    }
}

TEST_F(InvalidStatusOfATarget, ACallerDoesNotGetStatusZero)
{
    expectServerError("000");
}

TEST_F(InvalidStatusOfATarget, ACallerDoesNotGetStatusNineHundred)
{
    expectServerError("999");
}

TEST_F(InvalidStatusOfATarget, ACallerDoesNotGetAnInterimStatus)
{
    expectServerError("100");
}
