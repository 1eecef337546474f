#include "http/requestrefusal.h"

#include "core/time.h"
#include "http/server.h"

#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace bluebell::detail {
namespace {

/// When a caller whose request was refused for lack of memory may try again.
constexpr Duration RefusalRetryTime = std::chrono::milliseconds(1000);
/// Unlike 504, says that the request was not run.
constexpr unsigned RequestTimeoutStatus = 408;

Error refusalOf(beast::error_code ec)
{
    if (ec == http::error::body_limit || ec == http::error::header_limit)
        return makeError(ErrorCode::PayloadTooLarge, "malformed HTTP: " + ec.message());
    if (ec == beast::error::timeout)
        return makeError(ErrorCode::DeadlineExceeded, "the request did not arrive in time");
    if (ec == asio::error::no_memory) {
        auto error = makeError(ErrorCode::Unavailable, "no memory is left for the request");
        error.retryAfter = RefusalRetryTime;
        return error;
    }
    return makeError(ErrorCode::InvalidArgument, "malformed HTTP: " + ec.message());
}

} // namespace

std::string_view refusalReason(beast::error_code ec)
{
    if (ec == http::error::body_limit)
        return "body limit";
    if (ec == http::error::header_limit)
        return "header limit";
    if (ec == beast::error::timeout)
        return "timeout";
    if (ec == asio::error::no_memory)
        return "no memory";
    return "malformed";
}

HttpResponse refusalResponse(beast::error_code ec)
{
    auto response = errorResponse(refusalOf(ec), std::string_view());
    if (ec == beast::error::timeout)
        response.status = RequestTimeoutStatus;
    return response;
}

} // namespace bluebell::detail
