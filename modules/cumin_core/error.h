#pragma once

#include <boost/outcome.hpp>
#include <ostream>
#include <string>

namespace cumin {

/** What kind of failure an Error reports. */
enum class ErrorCode {
  /** Input that does not parse or breaks a stated range or reference. */
  kInvalid,
  /** The thing asked for does not exist. */
  kNotFound,
  /** A compare-and-swap or `--based-on` found another version than expected. */
  kConflict,
  /** The other side refused or was unreachable before anything took effect. */
  kUnavailable,
  /** The other side may have carried the request out; its answer is lost. */
  kOutcomeUnknown,
  /** The other side answered with something that breaks its protocol. */
  kProtocol,
};

/** @returns the code's name in lower case with dashes */
const char* ToString(ErrorCode code);

/** A typed failure that names where the bad input stands. */
struct Error {
  ErrorCode code = ErrorCode::kInvalid;
  /** File, store key or peer that the input came from; may be empty. */
  std::string source;
  /** Line in the source, counted from 1; 0 when unknown. */
  int line = 0;
  /** Dotted path of the field, e.g. "grants[2].deadline_ms"; may be empty. */
  std::string field;
  /** Why, as one sentence with the allowed range where there is one. */
  std::string reason;

  friend bool operator==(const Error& a, const Error& b) {
    return a.code == b.code && a.source == b.source && a.line == b.line &&
           a.field == b.field && a.reason == b.reason;
  }
};

/** @returns "source:line: field: reason", without the parts that are empty */
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

/** @returns a Result that holds no value, only success */
inline Result<void> Ok() { return boost::outcome_v2::success(); }

}  // namespace cumin
