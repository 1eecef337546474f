#pragma once

#include "core/result.h"
#include "membership/daemonstatus.h"

#include <string>
#include <string_view>

/// \file
/// Encoding of the daemons' statuses.

namespace bluebell {

/// \returns the message in the Cap'n Proto encoding
[[nodiscard]] std::string encode(const DaemonStatus &status);

/// \returns the status, or InvalidArgument when the bytes are not one
[[nodiscard]] Result<DaemonStatus> decodeStatus(std::string_view bytes);

} // namespace bluebell
