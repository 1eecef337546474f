#pragma once

#include "http/message.h"

#include <boost/beast/core/error.hpp>

#include <string_view>

/// \file
/// Responses to requests that could not be read to their end.

namespace bluebell::detail {

/// \returns the reason for a refusal as in logs and metrics
[[nodiscard]] std::string_view refusalReason(boost::beast::error_code ec);

/// Builds the response to a request that could not be read because of `ec`.
[[nodiscard]] HttpResponse refusalResponse(boost::beast::error_code ec);

} // namespace bluebell::detail
