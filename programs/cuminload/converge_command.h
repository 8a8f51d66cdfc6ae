#pragma once

#include <CLI/CLI.hpp>

namespace cumin::load {

/** Adds the subcommand `converge`, which starts a store and a fleet of daemons,
    changes the configuration, and measures the time until each change is in
    force on all daemons and the traffic that it causes. */
void RegisterConverge(CLI::App& app);

}  // namespace cumin::load
