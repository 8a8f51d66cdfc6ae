#include "cuminload/call_outcome.h"

namespace cumin::load {

const char* ToString(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kRan:
      return "ran";
    case AttemptEnd::kNotRun:
      return "not-run";
    case AttemptEnd::kMayHaveRun:
      return "may-have-run";
    case AttemptEnd::kNoVerdict:
      return "no-verdict";
    case AttemptEnd::kCut:
      return "cut";
    case AttemptEnd::kNoAnswer:
      return "no-answer";
  }
  return "no-answer";
}

AttemptEnd CallOutcome::End() const {
  AttemptEnd end = AttemptEnd::kNotRun;
  for (const AttemptOutcome& it : attempts) {
    if (it.end == AttemptEnd::kRan) {
      return it.end;
    }
    // AttemptEnd is ordered from the most to the least certain value.
    end = it.end > end ? it.end : end;
  }
  return end;
}

}  // namespace cumin::load
