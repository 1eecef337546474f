#include "http/server.h"

#include "http/httplistener.h"
#include "http/httpsession.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace asio = boost::asio;

namespace bluebell {

asio::awaitable<bool> HttpResponder::send(HttpResponse response)
{
    return m_session.send(std::move(response));
}

asio::awaitable<bool> HttpResponder::begin(HttpResponse head)
{
    return m_session.begin(std::move(head));
}

asio::awaitable<bool> HttpResponder::write(std::string chunk)
{
    return m_session.write(std::move(chunk));
}

asio::awaitable<bool> HttpResponder::end()
{
    return m_session.end();
}

bool HttpResponder::hasBegun() const noexcept
{
    return m_session.hasBegun();
}

std::shared_ptr<const std::string> HttpResponder::sharedBody() const
{
    return m_session.sharedBody();
}

void HttpResponder::cancelOnDisconnect(const std::shared_ptr<CancelSource> &source)
{
    m_session.cancelOnDisconnect(source);
}

HttpServer::HttpServer(asio::io_context &context, HttpLimits limits, HttpHandler handler)
    : m_listener(
            std::make_shared<detail::HttpListener>(context, std::move(limits), std::move(handler)))
{
}

HttpServer::~HttpServer()
{
    m_listener->close();
}

Result<Endpoint> HttpServer::listen(const Endpoint &endpoint)
{
    return m_listener->listen(endpoint);
}

void HttpServer::setLimits(const HttpLimits &limits)
{
    m_listener->setLimits(limits);
}

void HttpServer::setRefusalObserver(RefusalObserver observer)
{
    m_listener->setRefusalObserver(std::move(observer));
}

void HttpServer::disableKeepAlive()
{
    m_listener->disableKeepAlive();
}

void HttpServer::stopAccepting()
{
    m_listener->stop();
}

std::size_t HttpServer::connectionCount() const noexcept
{
    return m_listener->connectionCount();
}

HttpResponse errorResponse(const Error &error, std::string_view requestId)
{
    nlohmann::json body = { { "error",
                              { { "code", toString(error.code) },
                                { "message", error.message },
                                { "request_id", requestId },
                                { "execution", toString(error.execution) } } } };
    HttpResponse response;
    response.status = httpStatus(error);
    if (error.retryAfter) {
        const auto seconds = std::max(1.0, std::ceil(toSeconds(*error.retryAfter)));
        response.headers.push_back(
                { "Retry-After", std::to_string(static_cast<std::int64_t>(seconds)) });
        body["error"]["retry_after_ms"] = toMilliseconds(*error.retryAfter).count();
    }
    using nlohmann::json;
    response.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    return response;
}

} // namespace bluebell
