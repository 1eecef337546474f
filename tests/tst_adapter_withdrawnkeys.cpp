#include "gatewayfixture.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

/// Guards against requests that are cut or answered wrongly because a key seems to be withdrawn.

using namespace bluebell;
using namespace bluebell::testing;
using namespace std::chrono_literals;

namespace {

using boost::asio::ip::tcp;
constexpr auto Await = boost::asio::as_tuple(boost::asio::use_awaitable);

class WithdrawnKeys : public GatewayTest
{
protected:
    /// One model only, so that none is unloaded for another.
    WithdrawnKeys() { setConfig(siteConfig(1, 1)); }

    /// Sends a request, closes the sending side after a pause and reads until the gateway closes
    /// the connection.
    std::shared_ptr<std::optional<std::string>> sendAndHalfClose(const std::string &message)
    {
        auto reply = std::make_shared<std::optional<std::string>>();
        auto exchangeInto = [](std::shared_ptr<std::optional<std::string>> out, tcp::endpoint peer,
                               std::string text) -> boost::asio::awaitable<void> {
            tcp::socket socket(co_await boost::asio::this_coro::executor);
            (void)co_await socket.async_connect(peer, Await);
            (void)co_await boost::asio::async_write(socket, boost::asio::buffer(text), Await);
            co_await sleepFor(100ms);
            boost::system::error_code ec;
            socket.shutdown(tcp::socket::shutdown_send, ec);
            std::string body;
            (void)co_await boost::asio::async_read(socket, boost::asio::dynamic_buffer(body),
                                                   Await);
            *out = std::move(body);
        };
        const tcp::endpoint peer(boost::asio::ip::make_address("127.0.0.1"),
                                 settings[0].callers.port);
        boost::asio::co_spawn(context, exchangeInto(reply, peer, message), boost::asio::detached);
        return reply;
    }
};

} // namespace

TEST_F(WithdrawnKeys, ACallerThatClosesItsSendingSideIsNotToldThatItsKeyIsInvalid)
{
    auto &engine = addTarget("e1", "engines");
    engine.loadTime = 1500ms;
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    const auto reply = sendAndHalfClose("POST /chat/x HTTP/1.1\r\nHost: shop.example\r\n"
                                        "X-Attempt-Id: a1\r\nAuthorization: Bearer key-1\r\n"
                                        "X-Model: m0\r\nContent-Length: 2\r\n\r\n{}");
    ASSERT_TRUE(runUntil([&] { return reply->has_value(); }, 4s));
    EXPECT_TRUE((*reply)->starts_with("HTTP/1.1 503 ")) << **reply;
    EXPECT_TRUE(engine.runs.empty());
}

TEST_F(WithdrawnKeys, AStreamIsNotCutBeforeItsRoutesTimeoutWhileItsCallerHasMoreTime)
{
    auto &engine = addTarget("e1", "engines", { "m0" });
    engine.behaviour.workDuration = 900ms;
    auto first = siteConfig(2, 1);
    first["Routes"][0]["TimeoutMs"] = 6000;
    setConfig(first);
    addGateway("vm-1");
    ASSERT_TRUE(awaitReady(0));
    run(300ms);
    auto headers = ModelZero;
    headers.push_back({ "X-Deadline-Ms", "12000" });
    const auto reply = send(0, "/chat/x", "key-1", headers);
    run(200ms);
    auto next = first;
    next["Version"] = 3;
    next["Tenants"][0]["ApiKeys"] = nlohmann::json::array();
    setConfig(next);
    EXPECT_TRUE(runUntil([&] { return reply->result.has_value(); }));
    EXPECT_EQ(reply->body(), FiveEvents);
}
