#include "cuminctl/exit_code.h"

namespace cumin {

ExitCode ToExitCode(const Error& error) {
  const bool bad_input =
      error.code == ErrorCode::kInvalid || error.code == ErrorCode::kNotFound;
  return bad_input ? kExitInvalid : kExitUnavailable;
}

ExitCode ToExitCode(AcceptanceResult result) {
  switch (result) {
    case AcceptanceResult::kAccepted:
      return kExitOk;
    case AcceptanceResult::kRefused:
      return kExitConflict;
    case AcceptanceResult::kInvalid:
      return kExitInvalid;
    case AcceptanceResult::kUnavailable:
      return kExitUnavailable;
    case AcceptanceResult::kUnknown:
      break;
  }
  return kExitUnknown;
}

}  // namespace cumin
