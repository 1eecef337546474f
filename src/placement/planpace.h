#pragma once

#include "core/time.h"

/// \file
/// Limits the share of the leader's time that is spent on planning.

namespace bluebell {

/// \returns the pause after a plan that took `took`: three times as long, at most 100 ms
///
/// Below that maximum, planning takes no more than a quarter of the daemon's time, so that with
/// many engines and models its requests and configuration updates are not delayed.
[[nodiscard]] Duration pauseAfterPlan(Duration took) noexcept;

} // namespace bluebell
