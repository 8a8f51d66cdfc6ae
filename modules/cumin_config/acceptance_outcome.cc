#include "cumin_config/acceptance_outcome.h"

#include "cumin_config/config_history.h"
#include "cumin_config/wall_time_text.h"

namespace cumin {

namespace {

std::string DescribeAccepted(const AcceptanceOutcome& outcome) {
  std::string text = "Accepted: " + Describe(outcome.change) + "\n";
  if (outcome.head_version > outcome.change.version) {
    text += "Version " + std::to_string(outcome.head_version) +
            " has been accepted since then.\n";
  }
  return text + "\"cuminctl status\" says where it is in force.\n";
}

std::string DescribeRefused(const AcceptanceOutcome& outcome) {
  std::string text =
      "Refused: nothing was changed. The change is based on "
      "version " +
      std::to_string(outcome.based_on) + ", and the newest version is " +
      std::to_string(outcome.head_version) + ".\n";
  if (outcome.head_version < outcome.based_on) {
    return text + "Look at \"cuminctl history\" for the versions there are.\n";
  }
  for (const ConfigVersionRecord& it : outcome.since) {
    text += "Since then: " + Describe(it) + "\n";
  }
  return text + "Look at \"cuminctl diff " + std::to_string(outcome.based_on) +
         " " + std::to_string(outcome.head_version) +
         "\", and repeat the change with --based-on " +
         std::to_string(outcome.head_version) + " if it still holds.\n";
}

std::string DescribeUnknown(const AcceptanceOutcome& outcome) {
  const std::string id = outcome.change.change_id.str();
  return "Unknown: the store may have accepted change " + id + " as version " +
         std::to_string(outcome.change.version) + "; its answers are lost (" +
         Describe(outcome.error) +
         ").\n"
         "To find out, look for " +
         id +
         " in \"cuminctl history\" once the store answers, or repeat the "
         "command with --change-id " +
         id + ", which cannot make the change twice.\n";
}

}  // namespace

const char* ToString(AcceptanceResult result) {
  switch (result) {
    case AcceptanceResult::kAccepted:
      return "accepted";
    case AcceptanceResult::kRefused:
      return "refused";
    case AcceptanceResult::kInvalid:
      return "invalid";
    case AcceptanceResult::kUnavailable:
      return "unavailable";
    case AcceptanceResult::kUnknown:
      break;
  }
  return "unknown";
}

std::string Describe(const AcceptanceOutcome& outcome) {
  switch (outcome.result) {
    case AcceptanceResult::kAccepted:
      return DescribeAccepted(outcome);
    case AcceptanceResult::kRefused:
      return DescribeRefused(outcome);
    case AcceptanceResult::kInvalid:
      return "Invalid: nothing was changed. " + Describe(outcome.error) + "\n";
    case AcceptanceResult::kUnavailable:
      return "Unavailable: nothing was changed. " + Describe(outcome.error) +
             "\n";
    case AcceptanceResult::kUnknown:
      break;
  }
  return DescribeUnknown(outcome);
}

Json::Value ToJson(const AcceptanceOutcome& outcome) {
  Json::Value value(Json::objectValue);
  value["result"] = ToString(outcome.result);
  value["change"] = ToJson(outcome.change);
  value["based_on"] = outcome.based_on;
  value["head_version"] = outcome.head_version;
  if (outcome.result == AcceptanceResult::kRefused) {
    value["since"] = ToJson(outcome.since);
  }
  if (!outcome.error.reason.empty()) {
    value["error"] = Describe(outcome.error);
  }
  return value;
}

}  // namespace cumin
