#include "cumin_config/config_candidate.h"

#include <utility>

#include "cumin_core/digest.h"
#include "cumin_core/json_text.h"

namespace cumin {

namespace {

/** Sends a bundle through its JSON form, which replaces what is not UTF-8. */
Result<void> CheckTransport(const ConfigBundle& bundle) {
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
  const Result<void> transported = CheckTransport(bundle);
  if (!transported) {
    return transported.error();
  }
  return bundle;
}

Result<void> CheckShardsKept(const std::string& old_mesh,
                             const std::string& new_mesh) {
  const Result<Mesh> before = ParseMesh(old_mesh, "mesh in force");
  const Result<Mesh> after = ParseMesh(new_mesh, "mesh");
  if (!before || !after) {
    return Ok();
  }
  for (const Service& it : after.value().services) {
    const Service* known = before.value().FindService(it.name);
    if (known != nullptr && known->ledger_shards != it.ledger_shards) {
      return Error{ErrorCode::kInvalid, "mesh", 0,
                   "services." + it.name.str() + ".ledger_shards",
                   "is " + std::to_string(known->ledger_shards) +
                       " and cannot change: keys would move to owners that do "
                       "not remember them"};
    }
  }
  return Ok();
}

}  // namespace cumin
