#pragma once

#include "core/time.h"

/// \file
/// How much of its processor the holder of the role spends on plans.

namespace bluebell {

/// \returns the pause after a plan that took so long: planning for many engines and models takes at
/// most a quarter of the daemon's time, so that its requests and feeds go on
[[nodiscard]] Duration pauseAfterPlan(Duration took) noexcept;

} // namespace bluebell
