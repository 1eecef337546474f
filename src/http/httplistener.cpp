#include "http/httplistener.h"

#include "core/log.h"
#include "http/httpsession.h"
#include "io/background.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <optional>
#include <utility>

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace bluebell::detail {
namespace {

using std::chrono::milliseconds;

constexpr auto Await = asio::as_tuple(asio::use_awaitable);
/// Pause after an accept that failed, for instance because no descriptor is free.
constexpr Duration AcceptRetryDelay = milliseconds(20);
/// Maximum time between two checks for a free connection.
constexpr Duration CapacityCheckInterval = milliseconds(50);

/// Minimum time between two log lines on refused requests.
constexpr Duration RefusalLogInterval = milliseconds(1000);

/// \returns whether an accept failed because the process or the system lacks a resource
bool isExhausted(const boost::system::error_code &ec)
{
    return ec == boost::system::errc::too_many_files_open
            || ec == boost::system::errc::too_many_files_open_in_system
            || ec == boost::system::errc::no_buffer_space
            || ec == boost::system::errc::not_enough_memory;
}

} // namespace

HttpListener::HttpListener(asio::io_context &context, HttpLimits limits, HttpHandler handler)
    : m_acceptor(context), m_limits(std::move(limits)), m_handler(std::move(handler)),
      m_sessionEnded(context.get_executor())
{
}

Result<Endpoint> HttpListener::listen(const Endpoint &endpoint)
{
    boost::system::error_code ec;
    const auto address = asio::ip::make_address(endpoint.host, ec);
    const tcp::endpoint local(address, endpoint.port);
    if (!ec)
        m_acceptor.open(local.protocol(), ec);
    if (!ec)
        m_acceptor.set_option(asio::socket_base::reuse_address(true), ec);
    if (!ec)
        m_acceptor.bind(local, ec);
    if (!ec)
        m_acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (ec)
        return makeError(ErrorCode::Unavailable,
                         "cannot listen on " + toString(endpoint) + ": " + ec.message());
    spawnLoop(m_acceptor.get_executor(), "accept connections",
              [self = shared_from_this()] { return acceptLoop(self); });
    return Endpoint { endpoint.host, m_acceptor.local_endpoint().port() };
}

asio::awaitable<void> HttpListener::acceptLoop(std::shared_ptr<HttpListener> self)
{
    bool isFailing = false;
    while (!self->m_isStopping) {
        auto [ec, socket] = co_await self->m_acceptor.async_accept(Await);
        if (!ec) {
            isFailing = false;
            co_await self->awaitCapacity();
            self->startSession(std::move(socket));
            continue;
        }
        if (!self->m_acceptor.is_open())
            co_return;
        if (!std::exchange(isFailing, true))
            log::warning("failed to accept a connection", { { "cause", ec.message() } });
        if (isExhausted(ec))
            self->closeForAnother();
        co_await sleepFor(AcceptRetryDelay);
    }
}

asio::awaitable<void> HttpListener::awaitCapacity()
{
    while (!m_isStopping && m_sessions.size() >= m_limits.connections) {
        closeForAnother();
        co_await m_sessionEnded.wait(CapacityCheckInterval);
    }
}

void HttpListener::startSession(tcp::socket socket)
{
    auto session = std::make_shared<HttpSession>(std::move(socket), *this);
    m_sessions.insert(session);
    asio::co_spawn(m_acceptor.get_executor(), serve(shared_from_this(), std::move(session)),
                   asio::detached);
}

asio::awaitable<void> HttpListener::serve(std::shared_ptr<HttpListener> self,
                                          std::shared_ptr<HttpSession> session)
{
    try {
        co_await session->run();
    } catch (const std::exception &e) {
        log::error("connection failed", { { "cause", e.what() } });
        session->close();
    }
    self->m_sessions.erase(session);
    self->m_sessionEnded.notify();
}

void HttpListener::noteRefusal(std::string_view reason)
{
    if (m_refusalObserver)
        m_refusalObserver(reason);
    ++m_unloggedRefusals;
    const auto now = BootClock::now();
    if (now - m_refusalsLoggedAt < RefusalLogInterval)
        return;
    m_refusalsLoggedAt = now;
    const auto &memory = m_limits.memory;
    log::warning("requests refused before they were read",
                 { { "reason", std::string(reason) },
                   { "count", std::to_string(std::exchange(m_unloggedRefusals, 0)) },
                   { "connections", std::to_string(m_sessions.size()) },
                   { "held_bytes", std::to_string(memory ? memory->held() : 0) },
                   { "peak_bytes", std::to_string(memory ? memory->peak() : 0) } });
}

std::vector<std::shared_ptr<HttpSession>>
HttpListener::readingSessions(const HttpSession *excluded) const
{
    std::vector<std::shared_ptr<HttpSession>> sessions;
    for (const auto &it : m_sessions)
        if (it.get() != excluded && it->readProgress())
            sessions.push_back(it);
    return sessions;
}

std::vector<ReadProgress>
HttpListener::progressOf(const std::vector<std::shared_ptr<HttpSession>> &sessions)
{
    std::vector<ReadProgress> progress;
    progress.reserve(sessions.size());
    for (const auto &it : sessions)
        progress.push_back(*it->readProgress());
    return progress;
}

bool HttpListener::giveUpForMemory(const HttpSession &session)
{
    const auto sessions = readingSessions(&session);
    const auto held = session.readProgress()->heldBytes;
    const auto n = chooseForMemory(progressOf(sessions), held, BootClock::now());
    if (n)
        sessions[*n]->giveUp("given up for memory");
    return n.has_value();
}

void HttpListener::closeForAnother()
{
    if (closeLongestIdle())
        return;
    const auto sessions = readingSessions(nullptr);
    if (const auto n = chooseStalled(progressOf(sessions), BootClock::now()))
        sessions[*n]->giveUp("given up for another connection");
}

bool HttpListener::closeLongestIdle()
{
    std::shared_ptr<HttpSession> longest;
    for (const auto &it : m_sessions)
        if (const auto since = it->idleSince();
            since && (!longest || *since < *longest->idleSince()))
            longest = it;
    return longest && longest->closeIfIdle();
}

void HttpListener::acceptPending()
{
    boost::system::error_code ec;
    m_acceptor.non_blocking(true, ec);
    if (!ec) // Otherwise such an error makes accept() wait for the next connection.
        m_acceptor.set_option(asio::socket_base::enable_connection_aborted(true), ec);
    while (!ec || ec == asio::error::connection_aborted) {
        tcp::socket socket(m_acceptor.get_executor());
        m_acceptor.accept(socket, ec);
        if (!ec)
            startSession(std::move(socket));
    }
}

void HttpListener::stop()
{
    if (!m_isStopping && m_acceptor.is_open())
        acceptPending();
    m_isStopping = true;
    boost::system::error_code ec;
    m_acceptor.close(ec);
    for (const auto &it : m_sessions)
        it->updateDeadline();
}

void HttpListener::close()
{
    m_isStopping = true;
    boost::system::error_code ec;
    m_acceptor.close(ec);
    for (const auto &it : m_sessions)
        it->close();
}

} // namespace bluebell::detail
