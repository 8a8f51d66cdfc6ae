#include "cumin_core/error.h"

namespace cumin {

const char* ToString(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalid:
      return "invalid";
    case ErrorCode::kNotFound:
      return "not-found";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kUnavailable:
      return "unavailable";
    case ErrorCode::kOutcomeUnknown:
      return "outcome-unknown";
    case ErrorCode::kProtocol:
      return "protocol";
  }
  return "invalid";
}

std::string Describe(const Error& error) {
  std::string text = error.source;
  if (error.line > 0) {
    text += ":" + std::to_string(error.line);
  }
  if (!text.empty()) {
    text += ": ";
  }
  if (!error.field.empty()) {
    text += error.field + ": ";
  }
  return text + error.reason;
}

std::ostream& operator<<(std::ostream& out, const Error& error) {
  return out << Describe(error);
}

}  // namespace cumin
