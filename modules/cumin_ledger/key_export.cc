#include "cumin_ledger/key_export.h"

#include "cumin_core/json_text.h"

namespace cumin {

namespace {

Json::Value KeyToJson(const ExportedKey& key) {
  Json::Value value;
  value["customer"] = key.key.customer.str();
  value["key"] = key.key.key.str();
  value["hash"] = static_cast<Json::UInt64>(key.request_hash);
  value["ran"] = key.state == KeyState::kRan;
  value["forget_at_ms"] =
      static_cast<Json::Int64>(ToUnixMillis(key.expires_at));
  if (key.answer) {
    value["status"] = key.answer->status();
    value["type"] = key.answer->content_type();
    value["body"] = key.answer->body();
  }
  return value;
}

bool IsKey(const Json::Value& value) {
  return value.isObject() && value["customer"].isString() &&
         value["key"].isString() && value["hash"].isUInt64() &&
         value["ran"].isBool() && value["forget_at_ms"].isInt64();
}

bool HasAnswer(const Json::Value& value) {
  return value["status"].isInt() && value["type"].isString() &&
         value["body"].isString();
}

ExportedKey KeyFromJson(const Json::Value& value) {
  ExportedKey key;
  key.key.customer = CustomerId(value["customer"].asString());
  key.key.key = IdempotencyKey(value["key"].asString());
  key.request_hash = value["hash"].asUInt64();
  key.state = value["ran"].asBool() ? KeyState::kRan : KeyState::kMayHaveRun;
  key.expires_at = FromUnixMillis(value["forget_at_ms"].asInt64());
  if (HasAnswer(value)) {
    key.answer =
        new StoredAnswer(value["status"].asInt(), value["type"].asString(),
                         value["body"].asString());
  }
  return key;
}

}  // namespace

std::string ToText(const KeyExport& exported) {
  Json::Value value;
  value["service"] = exported.shard.service.str();
  value["shard"] = exported.shard.index;
  value["epoch"] = static_cast<Json::UInt64>(exported.epoch);
  value["lease"] = exported.lease;
  value["known_since_ms"] =
      static_cast<Json::Int64>(ToUnixMillis(exported.known_since));
  value["keys"] = Json::Value(Json::arrayValue);
  for (const ExportedKey& it : exported.keys) {
    value["keys"].append(KeyToJson(it));
  }
  return ToJsonText(value);
}

Result<KeyExport> ParseKeyExport(const std::string& text,
                                 const std::string& source) {
  Result<Json::Value> parsed = ParseJson(text, source);
  if (!parsed) {
    return parsed.error();
  }
  const Json::Value& value = parsed.value();
  const Error invalid{ErrorCode::kInvalid, source, 0, "",
                      "malformed key export: a field is missing "
                      "or has the wrong type"};
  const bool is_export = value.isObject() && value["service"].isString() &&
                         value["shard"].isInt() && value["epoch"].isUInt64() &&
                         value["lease"].isString() &&
                         value["known_since_ms"].isInt64() &&
                         value["keys"].isArray();
  if (!is_export) {
    return invalid;
  }
  KeyExport exported;
  exported.shard =
      ShardId{ServiceId(value["service"].asString()), value["shard"].asInt()};
  exported.epoch = value["epoch"].asUInt64();
  exported.lease = value["lease"].asString();
  exported.known_since = FromUnixMillis(value["known_since_ms"].asInt64());
  for (const Json::Value& it : value["keys"]) {
    if (!IsKey(it)) {
      return invalid;
    }
    exported.keys.push_back(KeyFromJson(it));
  }
  return exported;
}

}  // namespace cumin
