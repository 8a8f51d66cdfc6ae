#pragma once

#include <CLI/CLI.hpp>

namespace cumin::load {

/** Adds the subcommand `run`, which sends a scenario and judges it. Its
    callback throws CLI::RuntimeError with the exit status when something was
    doubled, lost or cut. */
void RegisterRun(CLI::App& app);

}  // namespace cumin::load
