#pragma once

#include <json/json.h>

#include <cstdint>
#include <string>
#include <vector>

#include "cumin_config/config_version_record.h"
#include "cumin_core/error.h"

namespace cumin {

/** Result of an attempt to change the configuration. */
enum class AcceptanceResult {
  /** The store holds the change as a new version. */
  kAccepted,
  /** The change is not based on the newest version; it had no effect. */
  kRefused,
  /** The change or the store's content is invalid; the change had no effect. */
  kInvalid,
  /** The store did not respond; the change had no effect. */
  kUnavailable,
  /** The store may have accepted the change; its responses were lost. */
  kUnknown,
};

/** @returns the result's name in lower case */
const char* ToString(AcceptanceResult result);

/** Result of an attempt to change the configuration, with the details that the
    operator needs to proceed. */
struct AcceptanceOutcome {
  AcceptanceResult result = AcceptanceResult::kUnknown;
  /** The change as accepted, or as attempted. */
  ConfigVersionRecord change;
  /** The version that the operator based the change on. */
  std::uint64_t based_on = 0;
  /** The newest version seen in the store; 0 when none was. */
  std::uint64_t head_version = 0;
  /** For kRefused: the most recent versions accepted since `based_on`, oldest
      first. */
  std::vector<ConfigVersionRecord> since;
  /** For kInvalid, kUnavailable and kUnknown. */
  Error error;
};

/** @returns the outcome as sentences for the operator, one per line: the
    current state, who changed what and when, and what to do next */
std::string Describe(const AcceptanceOutcome& outcome);

/** @returns the outcome as a JSON object */
Json::Value ToJson(const AcceptanceOutcome& outcome);

}  // namespace cumin
