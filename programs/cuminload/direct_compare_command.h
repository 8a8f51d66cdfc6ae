#pragma once

#include <CLI/CLI.hpp>

namespace cumin::load {

/** Adds the subcommand `direct-compare`, which sends the same calls direct to
    a target, through the daemon beside it, and through a second daemon, and
    prints what the daemons add. */
void RegisterDirectCompare(CLI::App& app);

}  // namespace cumin::load
