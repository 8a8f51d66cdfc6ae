#include "cumin_config/config_candidate.h"

#include <utility>

#include "cumin_core/digest.h"
#include "cumin_core/json_text.h"

namespace cumin {

namespace {

/** Checks that encoding to JSON and back leaves the bundle unchanged. The JSON
    encoder replaces invalid UTF-8, so such text would reach daemons altered. */
Result<void> CheckJsonRoundTrip(const ConfigBundle& bundle) {
  const Result<Json::Value> value = ParseJson(ToJsonText(ToJson(bundle)), "");
  if (!value) {
    return value.error();
  }
  JsonObject fields(value.value(), "");
  if (!(ReadConfigBundle(fields) == bundle)) {
    return Error{ErrorCode::kInvalid, "", 0, "",
                 "a document, the author or the note is not valid UTF-8"};
  }
  return fields.Finish();
}

}  // namespace

Result<ConfigBundle> MakeCandidate(const ConfigVersionRecord& change,
                                   const HeadRecord* previous,
                                   const PartTexts& texts) {
  ConfigBundle bundle;
  Manifest manifest;
  for (const auto& [name, text] : texts) {
    manifest.push_back({name, Sha256Hex(text)});
    bundle.parts.push_back({name, text});
  }
  bundle.head = MakeHeadRecord(change, previous, std::move(manifest));
  const Result<RefPtr<const ConfigSnapshot>> snapshot = MakeSnapshot(bundle);
  if (!snapshot) {
    return snapshot.error();
  }
  const Result<void> round_trip = CheckJsonRoundTrip(bundle);
  if (!round_trip) {
    return round_trip.error();
  }
  return bundle;
}

Result<void> CheckShardCountsUnchanged(const std::string& old_mesh,
                                       const std::string& new_mesh) {
  const Result<Mesh> before = ParseMesh(old_mesh, "mesh in force");
  const Result<Mesh> after = ParseMesh(new_mesh, "mesh");
  if (!before || !after) {
    return Ok();
  }
  for (const Service& it : after.value().services) {
    const Service* old_service = before.value().FindService(it.name);
    if (old_service != nullptr &&
        old_service->ledger_shards != it.ledger_shards) {
      return Error{ErrorCode::kInvalid, "mesh", 0,
                   "services." + it.name.str() + ".ledger_shards",
                   "is " + std::to_string(old_service->ledger_shards) +
                       " and cannot change: keys would move to owners that do "
                       "not remember them"};
    }
  }
  return Ok();
}

}  // namespace cumin
