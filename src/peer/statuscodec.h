#pragma once

#include "core/result.h"
#include "membership/daemonstatus.h"

#include <string>
#include <string_view>

/// \file
/// Cap'n Proto encoding of daemon statuses.

namespace bluebell {

/// \returns `status` as a serialised Cap'n Proto message
[[nodiscard]] std::string encode(const DaemonStatus &status);

/// \returns the decoded status, or InvalidArgument when `bytes` is malformed
[[nodiscard]] Result<DaemonStatus> decodeStatus(std::string_view bytes);

} // namespace bluebell
