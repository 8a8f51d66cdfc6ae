#pragma once

#include <CLI/CLI.hpp>

namespace cumin::load {

/** Adds the subcommand `direct-compare`, which sends calls of one kind
    directly to a target, through the daemon beside it, and through a second
    daemon, and prints the latency that the daemons add. */
void RegisterDirectCompare(CLI::App& app);

}  // namespace cumin::load
