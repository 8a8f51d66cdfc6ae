#pragma once

#include <boost/outcome.hpp>
#include <ostream>
#include <string>

namespace cumin {

/** The kind of failure that an Error reports. */
enum class ErrorCode {
  /** Input that does not parse, is out of range or has a dangling reference. */
  kInvalid,
  /** The requested object does not exist. */
  kNotFound,
  /** A compare-and-swap or `--based-on` found another version than expected. */
  kConflict,
  /** The peer refused or was unreachable; the request had no effect. */
  kUnavailable,
  /** The peer may have executed the request; its response was lost. */
  kOutcomeUnknown,
  /** The peer's response violates the protocol. */
  kProtocol,
};

/** @returns the name in lower case with dashes, e.g. "not-found" */
const char* ToString(ErrorCode code);

/** A typed failure with the location of the invalid input. */
struct Error {
  ErrorCode code = ErrorCode::kInvalid;
  /** File, store key or peer that the input came from; may be empty. */
  std::string source;
  /** 1-based line in the source; 0 when unknown. */
  int line = 0;
  /** Dotted path of the field, e.g. "grants[2].deadline_ms"; may be empty. */
  std::string field;
  /** One sentence, with the allowed range where there is one. */
  std::string reason;

  friend bool operator==(const Error& a, const Error& b) {
    return a.code == b.code && a.source == b.source && a.line == b.line &&
           a.field == b.field && a.reason == b.reason;
  }
};

/** @returns "source:line: field: reason", without the empty parts */
std::string Describe(const Error& error);

std::ostream& operator<<(std::ostream& out, const Error& error);

/** A value or an Error.

    @code
    Result<Contract> contract = ParseContract(text, "fabricators.yaml");
    if (!contract) {
      return contract.error();
    }
    @endcode
*/
template <typename T>
using Result = boost::outcome_v2::basic_result<
    T, Error, boost::outcome_v2::policy::throw_bad_result_access<Error, void>>;

/** @returns a successful Result without a value */
inline Result<void> Ok() { return boost::outcome_v2::success(); }

}  // namespace cumin
