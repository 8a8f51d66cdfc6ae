#pragma once

#include "cumin_config/acceptance_outcome.h"
#include "cumin_core/error.h"

namespace cumin {

/** The program's exit codes. */
enum ExitCode {
  kExitOk = 0,
  /** An argument, a document or what the store holds is not valid. */
  kExitInvalid = 2,
  /** Another change came first. */
  kExitConflict = 3,
  /** Neither store nor daemon answered; nothing was changed. */
  kExitUnavailable = 4,
  /** The change may have been accepted; the answers are lost. */
  kExitUnknown = 5,
  /** The newest version is not confirmed to be in force everywhere. */
  kExitNotEverywhere = 6,
};

/** The exit codes as the help text explains them. */
constexpr char kExitCodeHelp[] =
    "Exit status: 0 done, 2 bad input, 3 refused because another change came "
    "first, 4 store or daemon unavailable (nothing changed), 5 outcome unknown "
    "(the change may have been accepted), 6 not confirmed to be in force "
    "everywhere";

/** @returns the exit code for an error of a command that only reads */
ExitCode ToExitCode(const Error& error);

/** @returns the exit code for an attempted change */
ExitCode ToExitCode(AcceptanceResult result);

}  // namespace cumin
