#include "cumin_config/config_version_record.h"

namespace cumin {

namespace {

constexpr char kMeshPart[] = "mesh";
constexpr char kCustomerPrefix[] = "customer/";

}  // namespace

PartName MeshPartName() { return PartName(kMeshPart); }

PartName CustomerPartName(const CustomerId& customer) {
  return PartName(kCustomerPrefix + customer.str());
}

Json::Value ToJson(const ConfigVersionRecord& record) {
  Json::Value value(Json::objectValue);
  value["version"] = record.version;
  value["change_id"] = record.change_id.str();
  value["accepted_at_ms"] = ToUnixMillis(record.accepted_at);
  value["author"] = record.author;
  value["note"] = record.note;
  Json::Value& changed = value["changed_parts"] = Json::Value(Json::arrayValue);
  for (const PartName& it : record.changed_parts) {
    changed.append(it.str());
  }
  return value;
}

ConfigVersionRecord ReadConfigVersionRecord(JsonObject& fields) {
  ConfigVersionRecord record;
  record.version = fields.Unsigned("version");
  if (record.version == 0) {
    fields.Fail("version", "must be at least 1");
  }
  record.change_id = fields.Name<ChangeId>("change_id");
  record.accepted_at = FromUnixMillis(fields.Int("accepted_at_ms"));
  record.author = fields.String("author", kMaxAuthorBytes);
  record.note = fields.String("note", kMaxNoteBytes);
  for (const std::string& it : fields.Strings("changed_parts", kMaxParts)) {
    record.changed_parts.emplace_back(it);
  }
  return record;
}

}  // namespace cumin
