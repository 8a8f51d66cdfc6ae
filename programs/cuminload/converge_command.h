#pragma once

#include <CLI/CLI.hpp>

namespace cumin::load {

/** Adds the subcommand `converge`, which starts a store and a fleet of daemons,
    changes the configuration, and measures how long each change takes until it
    is in force everywhere and what that costs. */
void RegisterConverge(CLI::App& app);

}  // namespace cumin::load
