#include "cuminload/run_record.h"

#include <sstream>
#include <utility>

#include "cumin_core/json_text.h"

namespace cumin::load {

namespace {

bool ParseEvent(const Json::Value& value, RunEvent* out) {
  if (value == "start") {
    *out = RunEvent::kStart;
  } else if (value == "finish") {
    *out = RunEvent::kFinish;
  } else if (value == "cut") {
    *out = RunEvent::kCut;
  } else {
    return false;
  }
  return true;
}

bool ParseRecord(const Json::Value& value, RunRecord* out) {
  const bool complete = value.isObject() && value["target"].isString() &&
                        value["key"].isString() &&
                        value["request_id"].isString();
  if (!complete || !ParseEvent(value["event"], &out->event)) {
    return false;
  }
  out->target = value["target"].asString();
  out->key = IdempotencyKey(value["key"].asString());
  out->request_id = value["request_id"].asString();
  return true;
}

}  // namespace

Result<std::vector<RunRecord>> ParseRunLog(const std::string& text,
                                           const std::string& source) {
  std::vector<RunRecord> records;
  std::istringstream in(text);
  std::string line;
  for (int number = 1; std::getline(in, line); ++number) {
    const Result<Json::Value> value = ParseJson(line, source);
    RunRecord record;
    if (!value || !ParseRecord(value.value(), &record)) {
      return Error{ErrorCode::kInvalid, source, number, "",
                   "not a valid run log record"};
    }
    records.push_back(std::move(record));
  }
  return records;
}

}  // namespace cumin::load
