#include "cumin_config/config_queries.h"

#include <utility>

namespace cumin {

namespace {

/** Parses a JSON object with `read` and reports the first recorded error. */
template <typename Value, typename Read>
Result<Value> ParseObject(const Json::Value& json, const std::string& source,
                          Read read) {
  JsonObject fields(json, source);
  Value value = read(fields);
  const Result<void> checked = fields.Finish();
  if (!checked) {
    return checked.error();
  }
  return value;
}

}  // namespace

Json::Value ToJson(const HistoryQuery& query) {
  Json::Value value(Json::objectValue);
  value["limit"] = query.limit;
  return value;
}

Json::Value ToJson(const HistoryAnswer& answer) {
  Json::Value value(Json::objectValue);
  value["history"] = ToJson(answer.history);
  return value;
}

Json::Value ToJson(const BundleQuery& query) {
  Json::Value value(Json::objectValue);
  value["version"] = query.version;
  return value;
}

Json::Value ToJson(const BundleAnswer& answer) {
  Json::Value value(Json::objectValue);
  value["bundle"] = ToJson(answer.bundle);
  return value;
}

Result<HistoryQuery> ParseHistoryQuery(const Json::Value& value,
                                       const std::string& source) {
  return ParseObject<HistoryQuery>(value, source, [](JsonObject& fields) {
    HistoryQuery query;
    query.limit = fields.Unsigned("limit");
    if (query.limit == 0) {
      fields.Fail("limit", "must be at least 1");
    }
    return query;
  });
}

Result<HistoryAnswer> ParseHistoryAnswer(const Json::Value& value,
                                         const std::string& source) {
  return ParseObject<HistoryAnswer>(value, source, [](JsonObject& fields) {
    return HistoryAnswer{ReadHistory(fields, "history")};
  });
}

Result<BundleQuery> ParseBundleQuery(const Json::Value& value,
                                     const std::string& source) {
  return ParseObject<BundleQuery>(value, source, [](JsonObject& fields) {
    return BundleQuery{fields.Unsigned("version")};
  });
}

Result<BundleAnswer> ParseBundleAnswer(const Json::Value& value,
                                       const std::string& source) {
  return ParseObject<BundleAnswer>(value, source, [](JsonObject& fields) {
    JsonObject bundle = fields.Object("bundle");
    return BundleAnswer{ReadConfigBundle(bundle)};
  });
}

Result<StatusReport> ParseStatusReport(const Json::Value& value,
                                       const std::string& source) {
  return ParseObject<StatusReport>(value, source, ReadStatusReport);
}

}  // namespace cumin
