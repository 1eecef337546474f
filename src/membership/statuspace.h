#pragma once

#include "core/time.h"

#include <cstddef>

/// \file
/// How often the daemons of a fleet tell each other of themselves.

namespace bluebell {

struct StatusPace
{
    /// Between two statuses while nothing has changed.
    Duration every {};
    /// The same at the holder of the role that gives orders, whose silence must be noticed soon.
    Duration holderEvery {};
    /// Changes within this time go out together.
    Duration gather {};
    /// A daemon counts as heard from for this time after its last status.
    Duration heardFor {};
    /// What a daemon told counts for this time.
    Duration validFor {};
};

/// \returns the pace for so many daemons: what each of them receives in a second grows no further
/// from sixteen daemons on
[[nodiscard]] StatusPace statusPaceOf(std::size_t daemons) noexcept;

} // namespace bluebell
