#include "gatewayfixture.h"
#include "target/targetclient.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

/// Guards against responses that end with their connection and are passed on as complete although
/// the target broke off.

namespace asio = boost::asio;
using asio::ip::tcp;

using namespace bluebell;
using namespace bluebell::testing;

namespace {

constexpr auto Await = asio::as_tuple(asio::use_awaitable);

enum class Ending : std::uint8_t { Close, Reset };

/// Answers every request with the same bytes, in which `ATTEMPT` stands for the id of the attempt,
/// and then closes or resets the connection.
class RawTarget
{
public:
    RawTarget(asio::io_context &context, std::string bytes, Ending ending)
        : m_acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
          m_bytes(std::move(bytes)), m_ending(ending)
    {
        asio::co_spawn(context, run(), asio::detached);
    }

    [[nodiscard]] Endpoint address() const
    {
        return { "127.0.0.1", m_acceptor.local_endpoint().port() };
    }
    [[nodiscard]] std::size_t requests() const noexcept { return m_requests; }

private:
    asio::awaitable<void> run()
    {
        for (;;) {
            auto [acceptError, socket] = co_await m_acceptor.async_accept(Await);
            if (acceptError)
                co_return;
            std::string request;
            const auto [readError, n] = co_await asio::async_read_until(
                    socket, asio::dynamic_buffer(request), "\r\n\r\n", Await);
            if (readError)
                continue;
            ++m_requests;
            const auto bytes = responseTo(request);
            (void)co_await asio::async_write(socket, asio::buffer(bytes), Await);
            co_await sleepFor(20ms);
            if (m_ending == Ending::Reset)
                socket.set_option(asio::socket_base::linger(true, 0));
            socket.close();
        }
    }

    [[nodiscard]] std::string responseTo(const std::string &request) const
    {
        const std::string name = "X-Attempt-Id: ";
        const auto from = request.find(name) + name.size();
        auto bytes = m_bytes;
        const std::string placeholder = "ATTEMPT";
        if (const auto at = bytes.find(placeholder); at != std::string::npos)
            bytes.replace(at, placeholder.size(),
                          request.substr(from, request.find("\r\n", from) - from));
        return bytes;
    }

    tcp::acceptor m_acceptor;
    std::string m_bytes;
    Ending m_ending;
    std::size_t m_requests = 0;
};

const std::string Head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ATTEMPT\r\nX-Server-Seal: s\r\n";
const std::string StreamHead = Head + "Content-Type: text/event-stream\r\n\r\n";

class UnframedResponses : public GatewayTest
{
protected:
    UnframedResponses() { setConfig(siteConfig(1, 1)); }

    /// Sends a request on a route of the plain service, or of the engines, to a target that
    /// responds with `bytes`.
    void exchangeWith(const std::string &path, const std::string &bytes, Ending ending)
    {
        RawTarget target(context, bytes, ending);
        const bool isEngine = path == "/chat/x";
        nlohmann::json entry = { { "born", 1000 },
                                 { "Sequence", 1 },
                                 { "Service", isEngine ? "engines" : "plain" },
                                 { "Address", toString(target.address()) },
                                 { "Zone", "leicester" },
                                 { "Version", "v1" },
                                 { "Slots", 8 },
                                 { "State", "ready" },
                                 { "ColdLeftMs", 0 } };
        if (isEngine)
            entry["Models"] = {
                { { "Name", "m0" }, { "Version", 1 }, { "Adapters", nlohmann::json::array() } }
            };
        store.put("servers", "raw", entry.dump());
        addGateway("vm-1");
        ASSERT_TRUE(awaitReady(0));
        run(300ms);
        reply = send(0, path, "key-1", ModelZero);
        ASSERT_TRUE(runUntil([&] { return reply->result.has_value(); }));
        EXPECT_GE(target.requests(), 1U);
    }

    void expectComplete(const std::string &body)
    {
        EXPECT_EQ(reply->status(), 200U);
        EXPECT_EQ(reply->body(), body);
    }
    void expectNoSuccess() { EXPECT_NE(reply->status(), 200U) << reply->body(); }

    std::shared_ptr<Reply> reply;
};

} // namespace

TEST_F(UnframedResponses, AWholeBodyIsPassedOn)
{
    exchangeWith("/order/x", Head + "\r\nwhole", Ending::Close);
    expectComplete("whole");
}

TEST_F(UnframedResponses, AResetBodyIsNotComplete)
{
    exchangeWith("/order/x", Head + "\r\npart of it", Ending::Reset);
    expectNoSuccess();
}

TEST_F(UnframedResponses, ABodyThatNeverBeganIsNotComplete)
{
    exchangeWith("/order/x", Head + "\r\n", Ending::Close);
    expectNoSuccess();
}

TEST_F(UnframedResponses, AHeadCutInsideALineIsNotComplete)
{
    exchangeWith("/order/x", "HTTP/1.1 200 OK\r\nX-Attempt-Id: ATTEMPT\r\nX-Server-Sea",
                 Ending::Close);
    expectNoSuccess();
}

TEST_F(UnframedResponses, AHeadCutBetweenLinesIsNotComplete)
{
    exchangeWith("/order/x", Head, Ending::Close);
    expectNoSuccess();
}

TEST_F(UnframedResponses, AStreamsHeadCutBetweenLinesIsNotComplete)
{
    exchangeWith("/chat/x", Head + "Content-Type: text/event-stream\r\n", Ending::Close);
    expectNoSuccess();
}

TEST_F(UnframedResponses, AWholeStreamIsPassedOn)
{
    exchangeWith("/chat/x", StreamHead + FiveEvents, Ending::Close);
    expectComplete(FiveEvents);
}

TEST_F(UnframedResponses, AStreamThatEndsInsideAnEventIsNotComplete)
{
    exchangeWith("/chat/x", StreamHead + FiveEvents + "id: 6\nda", Ending::Close);
    expectNoSuccess();
}

TEST_F(UnframedResponses, AResetStreamIsNotComplete)
{
    exchangeWith("/chat/x", StreamHead + FiveEvents, Ending::Reset);
    expectNoSuccess();
}

TEST_F(UnframedResponses, AStreamWithoutAnyEventIsNotComplete)
{
    exchangeWith("/chat/x", StreamHead, Ending::Close);
    expectNoSuccess();
}

TEST_F(UnframedResponses, ACallOfAServiceWhoseBodyNeverBeganHasAnUnknownOutcome)
{
    RawTarget target(context, Head + "\r\n", Ending::Close);
    std::optional<Result<HttpResponse>> result;
    const auto call = [&]() -> asio::awaitable<void> {
        HttpRequest request { "POST", "/order/x", {}, "{}" };
        auto calling = callService(target.address(), std::move(request), 2s);
        result = co_await std::move(calling);
    };
    asio::co_spawn(context, call, asio::detached);
    ASSERT_TRUE(runUntil([&] { return result.has_value(); }));
    ASSERT_FALSE(*result);
    EXPECT_EQ(result->error().execution, Execution::OutcomeUnknown);
}
