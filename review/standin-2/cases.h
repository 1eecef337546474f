#pragma once

#include "lab.h"

/// \file
/// The cases of the second review that are scripts.

namespace lab {

struct Setup
{
    std::string root;
    /// A temporary folder.
    std::string folder;
    Record &record;
    bool hasTrouble = true;
};

/// \returns 1 if the rule was broken, 0 if it held, 2 if the case could not run
int play(const std::string &name, const Setup &setup);

int playSmuggling(const Setup &setup);
int playReplacement(const Setup &setup);
int playTenants(const Setup &setup);
int playWaiting(const Setup &setup);
int playDeadly(const Setup &setup);
int playSoundPart(const Setup &setup);

} // namespace lab
