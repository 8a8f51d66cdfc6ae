#include "cumin_proxy/fleet_directory.h"

#include <string>

#include "cumin_core/json_text.h"
#include "cumin_core/logging.h"
#include "cumin_fleet/fleet_codec.h"

namespace cumin {

Result<std::vector<Member>> FleetDirectory::ReadContacts() {
  const Result<StoreListing> listing = store_.List(kContactsPrefix);
  if (!listing) {
    return listing.error();
  }
  std::vector<Member> contacts;
  for (const StoreEntry& it : listing.value().entries) {
    const Result<Json::Value> value = ParseJson(it.value, it.key);
    if (!value) {
      CUMIN_LOG(warning) << value.error();
      continue;
    }
    JsonObject fields(value.value(), it.key);
    const std::vector<Member> members = ReadMembers(fields, "members");
    if (fields.Finish()) {
      contacts.insert(contacts.end(), members.begin(), members.end());
    }
  }
  return contacts;
}

Result<void> FleetDirectory::WriteContacts(
    const RegionId& region, const std::vector<Member>& contacts) {
  Json::Value value;
  value["members"] = ToJson(contacts);
  const std::string text = ToJsonText(value);
  const std::string key = kContactsPrefix + region.str();
  const Result<StoreEntry> held = store_.Get(key);
  if (!held && held.error().code != ErrorCode::kNotFound) {
    return held.error();
  }
  if (held && held.value().value == text) {
    return Ok();
  }
  const std::uint64_t expected =
      held ? held.value().modify_index : kAbsentIndex;
  return store_.CompareAndSwap(key, text, expected, "");
}

}  // namespace cumin
