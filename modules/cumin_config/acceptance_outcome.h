#pragma once

#include <json/json.h>

#include <cstdint>
#include <string>
#include <vector>

#include "cumin_config/config_version_record.h"
#include "cumin_core/error.h"

namespace cumin {

/** How an attempt to change the configuration ended. */
enum class AcceptanceResult {
  /** The change is a version now. */
  kAccepted,
  /** Another change came first; nothing of this one took effect. */
  kRefused,
  /** The change or what the store holds is not valid; nothing took effect. */
  kInvalid,
  /** The store did not answer; nothing took effect. */
  kUnavailable,
  /** The store may have taken the change; its answers are lost. */
  kUnknown,
};

/** @returns the result's name in lower case */
const char* ToString(AcceptanceResult result);

/** How an attempt to change the configuration ended, with what the operator
    needs to go on. */
struct AcceptanceOutcome {
  AcceptanceResult result = AcceptanceResult::kUnknown;
  /** The change as accepted, or as it was tried. */
  ConfigVersionRecord change;
  /** The version that the operator had seen. */
  std::uint64_t based_on = 0;
  /** The newest version seen in the store; 0 when none was. */
  std::uint64_t head_version = 0;
  /** For kRefused: the newest of the versions accepted since `based_on`,
      oldest first. */
  std::vector<ConfigVersionRecord> since;
  /** For kInvalid, kUnavailable and kUnknown. */
  Error error;
};

/** @returns the outcome in plain sentences, one a line: what holds now, who
    changed what when, and what to do next */
std::string Describe(const AcceptanceOutcome& outcome);

/** @returns the outcome as a JSON object */
Json::Value ToJson(const AcceptanceOutcome& outcome);

}  // namespace cumin
