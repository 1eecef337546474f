#include "peer/peernode.h"

#include "peer/codec.h"

#include <boost/asio/async_result.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/async.h>

#include <future>
#include <map>
#include <thread>
#include <utility>

namespace asio = boost::asio;

namespace bluebell::detail {
namespace {

Error transportError(const Endpoint &endpoint, const kj::Exception &e)
{
    const auto code = e.getType() == kj::Exception::Type::OVERLOADED ? ErrorCode::DeadlineExceeded
                                                                     : ErrorCode::Unavailable;
    return Error { code, "peer " + toString(endpoint) + ": " + e.getDescription().cStr(),
                   Execution::OutcomeUnknown, std::nullopt };
}

kj::Duration toKj(Duration d)
{
    return d.count() * kj::NANOSECONDS;
}

} // namespace

using AnswerCallback = std::function<void(PeerAnswer)>;

/// A request that is passed from the calling thread to the RPC thread.
struct PendingQuestion
{
    Endpoint endpoint;
    PeerQuestion question;
    Duration timeout {};
    AnswerCallback callback;
};

/// State that only the RPC thread accesses.
class PeerThreadState;

/// Owns the RPC thread and passes work between it and other threads.
class PeerLoop : public std::enable_shared_from_this<PeerLoop>
{
public:
    PeerLoop(asio::any_io_executor executor, PeerHandler handler)
        : m_executor(std::move(executor)), m_handler(std::move(handler))
    {
    }

    void start();
    void stop();
    Result<Endpoint> listen(const Endpoint &endpoint);
    void ask(PendingQuestion question);
    /// Runs the handler on the executor and passes its response to `done`; called on the RPC
    /// thread.
    void handle(PeerQuestion question, std::function<void(PeerAnswer)> done);
    void post(std::function<void()> work) { asio::post(m_executor, std::move(work)); }

private:
    void run(std::promise<void> &ready);

    asio::any_io_executor m_executor;
    PeerHandler m_handler;
    std::thread m_thread;
    const kj::Executor *m_kjExecutor = nullptr;
    PeerThreadState *m_state = nullptr;
};

/// Implementation of the Cap'n Proto interface that other daemons call.
class DaemonServer final : public wire::Daemon::Server
{
public:
    explicit DaemonServer(PeerLoop &loop) : m_loop(loop) { }

    kj::Promise<void> ask(AskContext context) override
    {
        auto question = decode(context.getParams().getQuestion());
        if (!question) {
            encode(PeerAnswer(question.error()), context.getResults().initAnswer());
            return kj::READY_NOW;
        }
        auto pair = kj::newPromiseAndCrossThreadFulfiller<PeerAnswer>();
        auto fulfiller = std::make_shared<kj::Own<kj::CrossThreadPromiseFulfiller<PeerAnswer>>>(
                kj::mv(pair.fulfiller));
        m_loop.handle(std::move(question.value()),
                      [fulfiller](PeerAnswer answer) { (*fulfiller)->fulfill(std::move(answer)); });
        return pair.promise.then([context](const PeerAnswer &answer) mutable {
            encode(answer, context.getResults().initAnswer());
        });
    }

private:
    PeerLoop &m_loop;
};

/// A connection to another daemon.
struct PeerConnection
{
    explicit PeerConnection(kj::Own<kj::AsyncIoStream> accepted)
        : stream(kj::mv(accepted)), client(*stream),
          daemon(client.bootstrap().castAs<wire::Daemon>())
    {
    }

    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyClient client;
    wire::Daemon::Client daemon;
};

class PeerThreadState final : private kj::TaskSet::ErrorHandler
{
public:
    explicit PeerThreadState(PeerLoop &loop)
        : m_io(kj::setupAsyncIo()), m_server(kj::heap<DaemonServer>(loop)), m_tasks(*this)
    {
        auto stop = kj::newPromiseAndFulfiller<void>();
        m_stopPromise = kj::mv(stop.promise);
        m_stop = kj::mv(stop.fulfiller);
    }

    void run() { m_stopPromise.wait(m_io.waitScope); }
    void stop() { m_stop->fulfill(); }

    kj::Promise<Endpoint> listen(const Endpoint &endpoint)
    {
        const auto host = endpoint.host;
        return m_io.provider->getNetwork()
                .parseAddress(host, endpoint.port)
                .then([this, host](kj::Own<kj::NetworkAddress> address) {
                    auto listener = address->listen();
                    Endpoint bound { host, static_cast<std::uint16_t>(listener->getPort()) };
                    m_tasks.add(m_server.listen(*listener).attach(kj::mv(listener)));
                    return bound;
                });
    }

    void ask(const std::shared_ptr<PendingQuestion> &pending)
    {
        const auto timeout = toKj(pending->timeout);
        auto exchange = connection(pending->endpoint).then([pending](PeerConnection *it) {
            auto request = it->daemon.askRequest();
            encode(pending->question, request.initQuestion());
            return request.send().then(
                    [](auto &&response) { return decode(response.getAnswer()); });
        });
        m_tasks.add(
                m_io.provider->getTimer()
                        .timeoutAfter(timeout, kj::mv(exchange))
                        .then([pending](
                                      PeerAnswer answer) { pending->callback(std::move(answer)); },
                              [this, pending](kj::Exception &&e) {
                                  drop(pending->endpoint);
                                  pending->callback(transportError(pending->endpoint, e));
                              }));
    }

private:
    kj::Promise<PeerConnection *> connection(const Endpoint &endpoint)
    {
        if (const auto it = m_connections.find(endpoint); it != m_connections.end())
            return it->second.get();
        return m_io.provider->getNetwork()
                .parseAddress(endpoint.host, endpoint.port)
                .then([](kj::Own<kj::NetworkAddress> address) {
                    auto stream = address->connect();
                    return stream.attach(kj::mv(address));
                })
                .then([this, endpoint](kj::Own<kj::AsyncIoStream> stream) {
                    auto &it = m_connections[endpoint];
                    if (!it)
                        it = std::make_shared<PeerConnection>(kj::mv(stream));
                    return it.get();
                });
    }

    /// Removes a connection. It is destroyed later by the event loop, because this function may run
    /// inside one of the connection's own callbacks.
    void drop(const Endpoint &endpoint)
    {
        const auto it = m_connections.find(endpoint);
        if (it == m_connections.end())
            return;
        auto dropped = std::move(it->second);
        m_connections.erase(it);
        m_tasks.add(kj::evalLater([dropped]() {}));
    }

    void taskFailed(kj::Exception && /*exception*/) override { }

    kj::AsyncIoContext m_io;
    std::map<Endpoint, std::shared_ptr<PeerConnection>> m_connections;
    capnp::TwoPartyServer m_server;
    kj::Promise<void> m_stopPromise = nullptr;
    kj::Own<kj::PromiseFulfiller<void>> m_stop;
    kj::TaskSet m_tasks;
};

void PeerLoop::start()
{
    std::promise<void> ready;
    m_thread = std::thread([this, &ready] { run(ready); });
    ready.get_future().wait();
}

void PeerLoop::run(std::promise<void> &ready)
{
    PeerThreadState state(*this);
    m_state = &state;
    m_kjExecutor = &kj::getCurrentThreadExecutor();
    ready.set_value();
    state.run();
}

void PeerLoop::stop()
{
    if (!m_thread.joinable())
        return;
    m_kjExecutor->executeSync([this] { m_state->stop(); });
    m_thread.join();
}

Result<Endpoint> PeerLoop::listen(const Endpoint &endpoint)
{
    try {
        return m_kjExecutor->executeSync([&] { return m_state->listen(endpoint); });
    } catch (const kj::Exception &e) {
        return transportError(endpoint, e);
    }
}

void PeerLoop::ask(PendingQuestion question)
{
    auto pending = std::make_shared<PendingQuestion>(std::move(question));
    m_kjExecutor->executeSync([this, &pending] { m_state->ask(pending); });
}

void PeerLoop::handle(PeerQuestion question, std::function<void(PeerAnswer)> done)
{
    if (!m_handler) {
        done(makeError(ErrorCode::NotFound, "this process answers no questions"));
        return;
    }
    auto run = [](std::shared_ptr<PeerLoop> self, PeerQuestion it,
                  std::function<void(PeerAnswer)> callback) -> asio::awaitable<void> {
        callback(co_await self->m_handler(std::move(it)));
    };
    asio::co_spawn(m_executor, run(shared_from_this(), std::move(question), std::move(done)),
                   asio::detached);
}

} // namespace bluebell::detail

namespace bluebell {

PeerNode::PeerNode(asio::any_io_executor executor, PeerHandler handler)
    : m_loop(std::make_shared<detail::PeerLoop>(std::move(executor), std::move(handler)))
{
    m_loop->start();
}

PeerNode::~PeerNode()
{
    m_loop->stop();
}

Result<Endpoint> PeerNode::listen(const Endpoint &endpoint)
{
    return m_loop->listen(endpoint);
}

asio::awaitable<PeerAnswer> PeerNode::ask(Endpoint endpoint, PeerQuestion question,
                                          Duration timeout)
{
    auto loop = m_loop;
    auto initiation = [loop](auto handler, detail::PendingQuestion pending) {
        auto shared = std::make_shared<decltype(handler)>(std::move(handler));
        pending.callback = [loop, shared](PeerAnswer answer) {
            auto result = std::make_shared<PeerAnswer>(std::move(answer));
            loop->post([shared, result] { std::move (*shared)(std::move(*result)); });
        };
        loop->ask(std::move(pending));
    };
    // A named variable: GCC 12 destroys aggregates that are created inside a co_await expression
    // twice.
    detail::PendingQuestion pending { std::move(endpoint), std::move(question), timeout, {} };
    co_return co_await asio::async_initiate<const asio::use_awaitable_t<>, void(PeerAnswer)>(
            initiation, asio::use_awaitable, std::move(pending));
}

} // namespace bluebell
