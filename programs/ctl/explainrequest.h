#pragma once

#include "ctl/commands.h"

#include <string>
#include <vector>

/// \file
/// Explains a request from the daemons' logs.

namespace bluebell::ctl {

/// Prints what the logs tell of a request and of the seconds before it.
///
/// \param paths files with log lines; without any, standard input is read
/// \returns Invalid if no line mentions the request, Usage if a file cannot be read
[[nodiscard]] ExitCode explainRequest(const std::string &request,
                                      const std::vector<std::string> &paths);

} // namespace bluebell::ctl
