#pragma once

#include <cstddef>
#include <cstdint>

/// \file
/// Decides how many engines hold a copy of a model.

namespace bluebell {

/// Load on one model, summed over all daemons.
struct ModelLoad
{
    double arrivalsPerSecond = 0;
    /// Requests that run or wait at engines.
    std::uint32_t inFlight = 0;
    /// Requests that one engine runs at the same time.
    std::uint32_t slots = 1;
};

/// \returns the number of copies with which the batches of their engines stay about half full
///
/// Above that, the prompts that are read between the tokens of running requests delay the events of
/// all streams, and a burst finds no free slot. A model that is asked for often has more than one
/// copy even if its requests are short, so that the loss of an engine does not stop it.
[[nodiscard]] std::size_t wantedCopies(const ModelLoad &load);

} // namespace bluebell
