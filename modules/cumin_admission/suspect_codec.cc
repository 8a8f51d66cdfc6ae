#include "cumin_admission/suspect_codec.h"

#include "cumin_core/json_object.h"
#include "cumin_core/json_text.h"

namespace cumin {

namespace {

constexpr char kSource[] = "suspects";
constexpr std::size_t kMaxRecords = 4096;
constexpr std::size_t kMaxCrashes = 64;
constexpr std::size_t kMaxNameBytes = 64;
/** Longer than any record is kept. */
constexpr Duration kMaxRemaining = std::chrono::hours(1);

Json::Value EncodeCrash(const SuspectCrash& crash) {
  Json::Value out;
  out["vm"] = crash.crash.vm.str();
  out["sequence"] = Json::UInt64{crash.crash.sequence};
  out["alone"] = crash.ran_alone;
  return out;
}

SuspectCrash ReadCrash(JsonObject& fields) {
  SuspectCrash crash;
  crash.crash.vm = fields.Name<VmId>("vm", kMaxNameBytes);
  crash.crash.sequence = fields.Unsigned("sequence");
  crash.ran_alone = fields.Has("alone") && fields.Bool("alone");
  return crash;
}

SuspectRecord ReadRecord(JsonObject& fields) {
  SuspectRecord record;
  record.fingerprint.value = fields.Unsigned("fingerprint");
  if (fields.Has("excused_through")) {
    record.excused_through = fields.Unsigned("excused_through");
  }
  const std::int64_t remaining_ms = fields.Int("remaining_ms");
  if (remaining_ms < 0 || remaining_ms > ToMillis(kMaxRemaining)) {
    fields.Fail("remaining_ms", "is out of range");
    return record;
  }
  record.remaining = std::chrono::milliseconds(remaining_ms);
  for (JsonObject& it : fields.Objects("crashes", kMaxCrashes)) {
    record.crashes.push_back(ReadCrash(it));
  }
  return record;
}

}  // namespace

Json::Value EncodeSuspects(const std::vector<SuspectRecord>& records) {
  Json::Value list(Json::arrayValue);
  for (const SuspectRecord& record : records) {
    Json::Value out;
    out["fingerprint"] = Json::UInt64{record.fingerprint.value};
    out["remaining_ms"] = Json::Int64{ToMillis(record.remaining)};
    out["excused_through"] = Json::UInt64{record.excused_through};
    out["crashes"] = Json::Value(Json::arrayValue);
    for (const SuspectCrash& it : record.crashes) {
      out["crashes"].append(EncodeCrash(it));
    }
    list.append(out);
  }
  Json::Value message;
  message["records"] = list;
  return message;
}

Result<std::vector<SuspectRecord>> DecodeSuspects(const Json::Value& value) {
  JsonObject fields(value, kSource);
  std::vector<SuspectRecord> records;
  for (JsonObject& it : fields.Objects("records", kMaxRecords)) {
    records.push_back(ReadRecord(it));
  }
  const Result<void> checked = fields.Finish();
  if (!checked) {
    return checked.error();
  }
  return records;
}

Result<std::vector<SuspectRecord>> ParseSuspects(const std::string& text,
                                                 const std::string& source) {
  const Result<Json::Value> value = ParseJson(text, source);
  if (!value) {
    return value.error();
  }
  return DecodeSuspects(value.value());
}

}  // namespace cumin
