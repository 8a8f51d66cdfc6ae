#include "cumin_ledger/shard_record.h"

#include "cumin_core/json_text.h"

namespace cumin {

std::string ShardKey(const ShardId& shard) {
  return "ledger/" + shard.service.str() + "/" + std::to_string(shard.index);
}

std::string ToText(const ShardRecord& record) {
  Json::Value value;
  value["owner"] = record.owner.str();
  value["lease"] = record.lease;
  value["epoch"] = static_cast<Json::UInt64>(record.epoch);
  value["known_since_ms"] =
      static_cast<Json::Int64>(ToUnixMillis(record.known_since));
  return ToJsonText(value);
}

Result<ShardRecord> ParseShardRecord(const std::string& text,
                                     const std::string& source) {
  Result<Json::Value> parsed = ParseJson(text, source);
  if (!parsed) {
    return parsed.error();
  }
  const Json::Value& value = parsed.value();
  const bool is_record = value.isObject() && value["owner"].isString() &&
                         value["lease"].isString() &&
                         value["epoch"].isUInt64() &&
                         value["known_since_ms"].isInt64();
  if (!is_record) {
    return Error{
        ErrorCode::kInvalid, source, 0, "",
        "malformed shard record: a field is missing or has the wrong type"};
  }
  return ShardRecord{VmId(value["owner"].asString()), value["lease"].asString(),
                     value["epoch"].asUInt64(),
                     FromUnixMillis(value["known_since_ms"].asInt64())};
}

}  // namespace cumin
