#include "cumin_config/config_delta.h"

#include <map>
#include <set>
#include <utility>

#include "cumin_config/config_history.h"
#include "cumin_core/digest.h"

namespace cumin {

namespace {

constexpr std::size_t kDigestBytes = 64;

std::vector<ConfigPart> ToParts(const std::map<PartName, std::string>& texts) {
  std::vector<ConfigPart> parts;
  parts.reserve(texts.size());
  for (const auto& [name, text] : texts) {
    parts.push_back({name, text});
  }
  return parts;
}

/** Applies the delta to the manifest; reuses the digests of unchanged parts. */
Manifest ApplyToManifest(const Manifest& old, const ConfigDelta& delta) {
  std::map<PartName, std::string> digests;
  for (const ManifestEntry& it : old) {
    digests[it.name] = it.digest;
  }
  for (const PartName& it : delta.removed) {
    digests.erase(it);
  }
  for (const ConfigPart& it : delta.changed) {
    digests[it.name] = Sha256Hex(it.text);
  }
  Manifest manifest;
  manifest.reserve(digests.size());
  for (auto& [name, digest] : digests) {
    manifest.push_back({name, std::move(digest)});
  }
  return manifest;
}

std::vector<ConfigPart> ApplyToParts(const ConfigBundle& bundle,
                                     const ConfigDelta& delta) {
  std::map<PartName, std::string> texts;
  for (const ConfigPart& it : bundle.parts) {
    texts[it.name] = it.text;
  }
  for (const PartName& it : delta.removed) {
    texts.erase(it);
  }
  for (const ConfigPart& it : delta.changed) {
    texts[it.name] = it.text;
  }
  return ToParts(texts);
}

}  // namespace

ConfigDelta MakeDelta(const ConfigBundle& from, const ConfigBundle& to) {
  ConfigDelta delta;
  delta.from_version = from.head.change.version;
  delta.from_digest = DigestOf(from.head);
  delta.change = to.head.change;
  delta.previous_digest = to.head.previous_digest;
  delta.manifest_digest = to.head.manifest_digest;
  for (const PartName& it :
       ChangedParts(from.head.manifest, to.head.manifest)) {
    const ConfigPart* part = to.FindPart(it);
    if (part == nullptr) {
      delta.removed.push_back(it);
      continue;
    }
    delta.changed.push_back(*part);
  }
  return delta;
}

Result<ConfigBundle> ApplyDelta(const ConfigBundle& bundle,
                                const ConfigDelta& delta) {
  if (bundle.head.change.version != delta.from_version ||
      DigestOf(bundle.head) != delta.from_digest) {
    return Error{ErrorCode::kConflict, "", 0, "from_version",
                 "the delta applies to version " +
                     std::to_string(delta.from_version) +
                     " and the bundle is version " +
                     std::to_string(bundle.head.change.version)};
  }
  if (delta.change.version <= delta.from_version) {
    return Error{ErrorCode::kInvalid, "", 0, "version",
                 "must be higher than " + std::to_string(delta.from_version)};
  }
  ConfigBundle next;
  next.head.change = delta.change;
  next.head.previous_digest = delta.previous_digest;
  next.head.manifest = ApplyToManifest(bundle.head.manifest, delta);
  next.head.manifest_digest = delta.manifest_digest;
  if (DigestOf(next.head.manifest) != delta.manifest_digest) {
    return Error{ErrorCode::kInvalid, "", 0, "manifest_digest",
                 "does not match the manifest with the changed parts applied"};
  }
  next.parts = ApplyToParts(bundle, delta);
  return next;
}

Result<ConfigDelta> MergeDeltas(const ConfigDelta& first,
                                const ConfigDelta& second) {
  if (first.change.version != second.from_version) {
    return Error{ErrorCode::kConflict, "", 0, "from_version",
                 "the first delta leads to version " +
                     std::to_string(first.change.version) +
                     " and the second starts at version " +
                     std::to_string(second.from_version)};
  }
  std::map<PartName, std::string> changed;
  for (const ConfigPart& it : first.changed) {
    changed[it.name] = it.text;
  }
  std::set<PartName> removed(first.removed.begin(), first.removed.end());
  for (const PartName& it : second.removed) {
    changed.erase(it);
    removed.insert(it);
  }
  for (const ConfigPart& it : second.changed) {
    changed[it.name] = it.text;
    removed.erase(it.name);
  }
  ConfigDelta merged = second;
  merged.from_version = first.from_version;
  merged.from_digest = first.from_digest;
  merged.between = first.between;
  merged.between.push_back(first.change);
  merged.between.insert(merged.between.end(), second.between.begin(),
                        second.between.end());
  merged.changed = ToParts(changed);
  merged.removed.assign(removed.begin(), removed.end());
  return merged;
}

Json::Value ToJson(const ConfigDelta& delta) {
  Json::Value value(Json::objectValue);
  value["from_version"] = delta.from_version;
  value["from_digest"] = delta.from_digest;
  value["change"] = ToJson(delta.change);
  value["previous_digest"] = delta.previous_digest;
  value["manifest_digest"] = delta.manifest_digest;
  value["between"] = ToJson(delta.between);
  Json::Value& changed = value["changed"] = Json::Value(Json::arrayValue);
  for (const ConfigPart& it : delta.changed) {
    changed.append(ToJson(it));
  }
  Json::Value& removed = value["removed"] = Json::Value(Json::arrayValue);
  for (const PartName& it : delta.removed) {
    removed.append(it.str());
  }
  return value;
}

ConfigDelta ReadConfigDelta(JsonObject& fields) {
  ConfigDelta delta;
  delta.from_version = fields.Unsigned("from_version");
  delta.from_digest = fields.String("from_digest", kDigestBytes);
  JsonObject change = fields.Object("change");
  delta.change = ReadConfigVersionRecord(change);
  delta.previous_digest = fields.String("previous_digest", kDigestBytes);
  delta.manifest_digest = fields.String("manifest_digest", kDigestBytes);
  delta.between = ReadHistory(fields, "between");
  delta.changed = ReadConfigParts(fields, "changed");
  for (const std::string& it : fields.Strings("removed", kMaxParts)) {
    delta.removed.emplace_back(it);
  }
  return delta;
}

}  // namespace cumin
