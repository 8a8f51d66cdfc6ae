#pragma once

#include <CLI/CLI.hpp>

namespace cumin::load {

/** Adds the subcommand `run`, which sends a scenario's calls and verifies the
    outcomes. Its callback throws CLI::RuntimeError with the exit status when
    the verification or the input fails. */
void RegisterRun(CLI::App& app);

}  // namespace cumin::load
