#include "http/server.h"
#include "io/notifier.h"
#include "rawcaller.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

#include <sys/resource.h>
#include <unistd.h>

#include <functional>
#include <memory>
#include <stdexcept>
#include <thread>
#include <vector>

/// Guards against connections that a server closes although a request has arrived on them, or
/// although the limits in force still allow callers to use them.

namespace asio = boost::asio;

using namespace bluebell;
using namespace bluebell::testing;
using namespace std::chrono_literals;

namespace {

class KeptConnections : public ::testing::Test
{
protected:
    void start(HttpLimits limits)
    {
        server = std::make_unique<HttpServer>(
                context, limits, [this](const HttpRequest &request, HttpResponder &responder) {
                    return handle(request, responder);
                });
        address = server->listen({ "127.0.0.1", 0 }).value();
    }

    asio::awaitable<void> handle(const HttpRequest &request, HttpResponder &responder)
    {
        if (request.path == "/fail")
            throw std::runtime_error("handler");
        if (request.path == "/slow")
            co_await sleepFor(300ms);
        if (request.path == "/watched") {
            responder.cancelOnDisconnect(disconnect);
            co_await sleepFor(300ms);
        }
        HttpResponse response;
        response.body = "answer to " + request.path;
        (void)co_await responder.send(std::move(response));
    }

    ::testing::AssertionResult runUntil(const std::function<bool()> &condition, Duration limit = 3s)
    {
        const auto end = BootClock::now() + limit;
        while (!condition()) {
            if (BootClock::now() > end)
                return ::testing::AssertionFailure() << "the condition did not hold in time";
            if (context.stopped())
                context.restart();
            handlerCount += context.run_for(1ms);
        }
        return ::testing::AssertionSuccess();
    }

    void run(Duration length)
    {
        const auto end = BootClock::now() + length;
        (void)runUntil([&] { return BootClock::now() > end; }, length + 1s);
    }

    ::testing::AssertionResult isAnswered(RawCaller &caller, const std::string &path)
    {
        return runUntil(
                [&] { return caller.received().find("answer to " + path) != std::string::npos; });
    }

    static HttpLimits limitsWithIdleTimeout(Duration idleTimeout)
    {
        HttpLimits it;
        it.idleTimeout = idleTimeout;
        return it;
    }

    static HttpLimits limitsWithTransferTimeout(Duration transferTimeout)
    {
        HttpLimits it;
        it.transferTimeout = transferTimeout;
        return it;
    }

    static HttpLimits limitsWithConnections(std::size_t connections)
    {
        HttpLimits it;
        it.connections = connections;
        return it;
    }

    asio::io_context context;
    std::unique_ptr<HttpServer> server;
    Endpoint address;
    /// Number of handlers that the event loop has run.
    std::size_t handlerCount = 0;
    std::shared_ptr<CancelSource> disconnect = std::make_shared<CancelSource>();
};

/// Lets the process open no further descriptor while it exists.
class DescriptorLimit
{
public:
    DescriptorLimit()
    {
        ::getrlimit(RLIMIT_NOFILE, &m_previous);
        const auto lowestFree = ::dup(STDERR_FILENO);
        ::close(lowestFree);
        rlimit lowered = m_previous;
        lowered.rlim_cur = static_cast<rlim_t>(lowestFree);
        ::setrlimit(RLIMIT_NOFILE, &lowered);
    }
    ~DescriptorLimit() { ::setrlimit(RLIMIT_NOFILE, &m_previous); }
    DescriptorLimit(const DescriptorLimit &) = delete;
    DescriptorLimit &operator=(const DescriptorLimit &) = delete;

private:
    rlimit m_previous {};
};

} // namespace

TEST_F(KeptConnections, ARaisedIdleTimeoutHoldsForAConnectionThatIsIdleAlready)
{
    start(limitsWithIdleTimeout(200ms));
    RawCaller caller(address);
    caller.request("/a");
    ASSERT_TRUE(isAnswered(caller, "/a"));
    server->setLimits(limitsWithIdleTimeout(5s));
    run(500ms);
    caller.request("/b");
    EXPECT_TRUE(isAnswered(caller, "/b"));
}

TEST_F(KeptConnections, ALoweredIdleTimeoutDoesNotCloseAConnectionEarlierThanAnnounced)
{
    start(limitsWithIdleTimeout(1s));
    RawCaller caller(address);
    caller.request("/a");
    ASSERT_TRUE(isAnswered(caller, "/a"));
    server->setLimits(limitsWithIdleTimeout(100ms));
    run(500ms);
    caller.request("/b");
    EXPECT_TRUE(isAnswered(caller, "/b"));
    run(300ms);
    EXPECT_TRUE(caller.isClosed());
}

TEST_F(KeptConnections, ARequestThatArrivesWhileTheIdleTimeoutIsHandledIsAnswered)
{
    start(limitsWithIdleTimeout(100ms));
    RawCaller caller(address);
    caller.request("/a");
    ASSERT_TRUE(isAnswered(caller, "/a"));
    // The second handler runs after the timer has been found expired and before its handler.
    asio::post(context, [&] {
        std::this_thread::sleep_for(200ms);
        asio::post(context, [&] { caller.request("/b"); });
    });
    EXPECT_TRUE(isAnswered(caller, "/b"));
}

TEST_F(KeptConnections, AStopAnswersARequestThatHasArrivedOnAnIdleConnection)
{
    start(HttpLimits());
    RawCaller caller(address);
    caller.request("/a");
    ASSERT_TRUE(isAnswered(caller, "/a"));
    caller.request("/b");
    server->stopAccepting();
    EXPECT_TRUE(isAnswered(caller, "/b"));
    EXPECT_TRUE(runUntil([&] { return caller.isClosed(); }));
    EXPECT_NE(caller.received().find("Connection: close"), std::string::npos);
}

TEST_F(KeptConnections, AStopServesAConnectionThatWaitsToBeAccepted)
{
    start(HttpLimits());
    run(10ms);
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int n = 0; n < 5; ++n) {
        callers.push_back(std::make_unique<RawCaller>(address));
        callers.back()->request("/a");
    }
    server->stopAccepting();
    for (const auto &it : callers)
        EXPECT_TRUE(isAnswered(*it, "/a"));
}

TEST_F(KeptConnections, AStopServesACallerThatHasJustConnected)
{
    start(HttpLimits());
    RawCaller caller(address);
    run(20ms);
    server->stopAccepting();
    run(100ms);
    caller.request("/a");
    EXPECT_TRUE(isAnswered(caller, "/a"));
}

TEST_F(KeptConnections, AStopClosesIdleConnections)
{
    start(HttpLimits());
    RawCaller used(address);
    RawCaller unused(address);
    used.request("/a");
    ASSERT_TRUE(isAnswered(used, "/a"));
    server->stopAccepting();
    EXPECT_TRUE(runUntil([&] { return used.isClosed(); }, 500ms));
    EXPECT_TRUE(runUntil([&] { return unused.isClosed(); }, 2s));
    EXPECT_TRUE(runUntil([&] { return server->connectionCount() == 0; }));
}

TEST_F(KeptConnections, AFailedHandlerIsAnswered)
{
    start(HttpLimits());
    RawCaller caller(address);
    caller.request("/fail");
    EXPECT_TRUE(runUntil([&] { return caller.isClosed(); }));
    EXPECT_EQ(caller.received().rfind("HTTP/1.1 500", 0), 0U);
    EXPECT_NE(caller.received().find("\"execution\":\"outcome_unknown\""), std::string::npos);
}

TEST_F(KeptConnections, ACallerThatStillSendsATooLargeBodyIsNotReset)
{
    HttpLimits limits;
    limits.bodyBytes = 1024;
    start(limits);
    RawCaller caller(address);
    caller.send("POST /a HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 3000000\r\n\r\n");
    run(50ms);
    const std::string body(3000000, 'x');
    std::string_view rest = body;
    bool isOpen = true;
    ASSERT_TRUE(runUntil([&] {
        isOpen = isOpen && caller.sendPart(rest);
        return rest.empty() || !isOpen;
    }));
    EXPECT_TRUE(isOpen);
    EXPECT_EQ(caller.received().rfind("HTTP/1.1 413", 0), 0U);
    EXPECT_NE(caller.received().find("payload_too_large"), std::string::npos);
    run(50ms);
    EXPECT_FALSE(caller.wasReset());
}

TEST_F(KeptConnections, TheLastResponseIsNotLostToUnreadInput)
{
    start(HttpLimits());
    RawCaller caller(address);
    caller.send("GET /slow HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n\r\n");
    run(50ms);
    caller.request("/b");
    EXPECT_TRUE(isAnswered(caller, "/slow"));
    EXPECT_TRUE(runUntil([&] { return caller.isClosed(); }));
    run(50ms);
    EXPECT_FALSE(caller.wasReset());
}

TEST_F(KeptConnections, ARaisedTransferTimeoutHoldsForARequestThatIsBeingRead)
{
    start(limitsWithTransferTimeout(200ms));
    RawCaller caller(address);
    caller.send("GET /a HTTP/1.1\r\n");
    run(50ms);
    server->setLimits(limitsWithTransferTimeout(5s));
    run(500ms);
    caller.send("Host: shop.example\r\n\r\n");
    EXPECT_TRUE(isAnswered(caller, "/a"));
}

TEST_F(KeptConnections, ARequestCompletedWhileTheEventLoopStoodStillIsAnswered)
{
    start(limitsWithTransferTimeout(200ms));
    const std::string body(500000, 'x');
    RawCaller caller(address);
    caller.send("POST /a HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 500000\r\n\r\n");
    run(50ms);
    std::string_view rest = body;
    while (!rest.empty() && caller.sendPart(rest))
        std::this_thread::sleep_for(rest.size() > 400000 ? 1ms : 300ms);
    EXPECT_TRUE(runUntil([&] {
        caller.sendPart(rest);
        return caller.received().find("answer to /a") != std::string::npos;
    }));
}

TEST_F(KeptConnections, ARequestThatArrivesTooLateIsRejectedAsNotRun)
{
    start(limitsWithTransferTimeout(200ms));
    RawCaller caller(address);
    caller.send("GET /a HTTP/1.1\r\n");
    EXPECT_TRUE(runUntil([&] { return caller.isClosed(); }));
    EXPECT_EQ(caller.received().rfind("HTTP/1.1 408", 0), 0U) << caller.received();
    EXPECT_NE(caller.received().find("\"execution\":\"not_run\""), std::string::npos);
    run(50ms);
    EXPECT_FALSE(caller.wasReset());
}

TEST_F(KeptConnections, ACallerThatHasClosedItsSendingSideIsAnswered)
{
    start(HttpLimits());
    RawCaller caller(address);
    caller.request("/slow");
    caller.shutdownSend();
    EXPECT_TRUE(isAnswered(caller, "/slow"));
}

TEST_F(KeptConnections, ACallerThatHasClosedItsSendingSideCountsAsGoneAndIsAnswered)
{
    start(HttpLimits());
    RawCaller caller(address);
    caller.request("/watched");
    run(50ms);
    EXPECT_FALSE(disconnect->isCancelled());
    caller.shutdownSend();
    EXPECT_TRUE(runUntil([&] { return disconnect->isCancelled(); }, 100ms));
    EXPECT_TRUE(isAnswered(caller, "/watched"));
}

TEST_F(KeptConnections, APipelinedRequestIsNoDisconnect)
{
    start(HttpLimits());
    RawCaller caller(address);
    caller.request("/watched");
    run(50ms);
    caller.request("/b");
    EXPECT_TRUE(isAnswered(caller, "/watched"));
    EXPECT_TRUE(isAnswered(caller, "/b"));
    EXPECT_FALSE(disconnect->isCancelled());
}

TEST_F(KeptConnections, AConnectionBeyondTheLimitReplacesAnIdleOne)
{
    start(limitsWithConnections(2));
    RawCaller first(address);
    first.request("/a");
    ASSERT_TRUE(isAnswered(first, "/a"));
    RawCaller second(address);
    second.request("/b");
    ASSERT_TRUE(isAnswered(second, "/b"));
    RawCaller third(address);
    third.request("/c");
    EXPECT_TRUE(isAnswered(third, "/c"));
    EXPECT_TRUE(first.isClosed());
    EXPECT_FALSE(second.isClosed());
}

TEST_F(KeptConnections, AConnectionBeyondTheLimitWaitsWhileAllAreBusy)
{
    start(limitsWithConnections(2));
    RawCaller first(address);
    first.request("/slow");
    RawCaller second(address);
    second.request("/slow");
    run(50ms);
    RawCaller third(address);
    third.request("/c");
    EXPECT_TRUE(isAnswered(third, "/c"));
    EXPECT_TRUE(isAnswered(first, "/slow"));
    EXPECT_TRUE(isAnswered(second, "/slow"));
}

TEST_F(KeptConnections, SilentConnectionsDoNotKeepOthersOut)
{
    start(limitsWithConnections(2));
    RawCaller first(address);
    RawCaller second(address);
    run(50ms);
    RawCaller third(address);
    third.request("/c");
    EXPECT_TRUE(isAnswered(third, "/c"));
}

TEST_F(KeptConnections, ACallerIsServedAlthoughNoDescriptorIsFree)
{
    start(HttpLimits());
    RawCaller first(address);
    first.request("/a");
    ASSERT_TRUE(isAnswered(first, "/a"));
    RawCaller second(address);
    second.request("/b");
    const DescriptorLimit limit;
    EXPECT_TRUE(isAnswered(second, "/b"));
    EXPECT_TRUE(first.isClosed());
}

TEST_F(KeptConnections, AFailingAcceptDoesNotKeepTheProcessorBusy)
{
    start(HttpLimits());
    RawCaller first(address);
    first.request("/slow");
    run(50ms);
    RawCaller second(address);
    second.request("/b");
    const DescriptorLimit limit;
    handlerCount = 0;
    run(200ms);
    EXPECT_LT(handlerCount, 100U);
    EXPECT_TRUE(isAnswered(first, "/slow"));
    EXPECT_TRUE(isAnswered(second, "/b"));
}

TEST_F(KeptConnections, AServerThatIsDestroyedClosesItsConnections)
{
    start(limitsWithConnections(3));
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (const auto *request :
         { "GET /watched HTTP/1.1\r\n\r\n", "GET /slow HTTP/1.1\r\n\r\n", "GET /part" }) {
        callers.push_back(std::make_unique<RawCaller>(address));
        callers.back()->send(request);
    }
    run(50ms);
    RawCaller waiting(address);
    waiting.request("/c");
    run(10ms);
    server.reset();
    // The event loop does not run again.
    for (const auto &it : callers)
        EXPECT_TRUE(it->isClosed());
}
