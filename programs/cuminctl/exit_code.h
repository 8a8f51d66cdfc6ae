#pragma once

#include "cumin_config/acceptance_outcome.h"
#include "cumin_core/error.h"

namespace cumin {

/** Exit codes of cuminctl. */
enum ExitCode {
  kExitOk = 0,
  /** An argument, a document or data in the store is invalid. */
  kExitInvalid = 2,
  /** Another change was accepted first. */
  kExitConflict = 3,
  /** Neither the store nor a daemon responded; nothing was changed. */
  kExitUnavailable = 4,
  /** The change may have been accepted, but the responses were lost. */
  kExitUnknown = 5,
  /** The newest version is not confirmed to be in force everywhere. */
  kExitNotEverywhere = 6,
};

/** Description of the exit codes for the help text. */
constexpr char kExitCodeHelp[] =
    "Exit status: 0 done, 2 bad input, 3 refused because another change was "
    "accepted first, 4 store or daemon unavailable (nothing changed), 5 "
    "outcome unknown "
    "(the change may have been accepted), 6 not confirmed to be in force "
    "everywhere";

/** @returns the exit code for an error of a read-only command */
ExitCode ToExitCode(const Error& error);

/** @returns the exit code for an attempted change */
ExitCode ToExitCode(AcceptanceResult result);

}  // namespace cumin
