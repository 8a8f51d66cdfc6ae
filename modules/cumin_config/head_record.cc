#include "cumin_config/head_record.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "cumin_core/digest.h"
#include "cumin_core/json_text.h"

namespace cumin {

namespace {

/** Length of a SHA-256 in hexadecimal. Used as a maximum: shorter strings are
    read as well. */
constexpr std::size_t kDigestBytes = 64;

/** Reads the configuration parts: each field is a part's name, its value the
    digest of the part's text. */
Manifest ReadManifest(JsonObject fields) {
  Manifest manifest;
  const std::vector<std::string> names = fields.Fields();
  if (names.size() > kMaxParts) {
    fields.Fail("",
                "must name at most " + std::to_string(kMaxParts) + " parts");
    return manifest;
  }
  for (const std::string& it : names) {
    manifest.push_back({PartName(it), fields.String(it, kDigestBytes)});
  }
  // FindEntry, ChangedParts and DigestOf rely on the order.
  std::sort(manifest.begin(), manifest.end());
  return manifest;
}

}  // namespace

const ManifestEntry* FindEntry(const Manifest& manifest, const PartName& name) {
  const auto it = std::lower_bound(
      manifest.begin(), manifest.end(), name,
      [](const ManifestEntry& a, const PartName& b) { return a.name < b; });
  return it != manifest.end() && it->name == name ? &*it : nullptr;
}

std::string DigestOf(const Manifest& manifest) {
  std::string lines;
  for (const ManifestEntry& it : manifest) {
    lines += it.name.str() + " " + it.digest + "\n";
  }
  return Sha256Hex(lines);
}

std::vector<PartName> ChangedParts(const Manifest& from, const Manifest& to) {
  Manifest differing;
  std::set_symmetric_difference(from.begin(), from.end(), to.begin(), to.end(),
                                std::back_inserter(differing));
  std::set<PartName> names;
  for (const ManifestEntry& it : differing) {
    names.insert(it.name);
  }
  return {names.begin(), names.end()};
}

HeadRecord MakeHeadRecord(ConfigVersionRecord change,
                          const HeadRecord* previous, Manifest manifest) {
  std::sort(manifest.begin(), manifest.end());
  const Manifest nothing;
  HeadRecord head;
  head.change = std::move(change);
  head.change.changed_parts = ChangedParts(
      previous == nullptr ? nothing : previous->manifest, manifest);
  head.previous_digest = previous == nullptr ? "" : DigestOf(*previous);
  head.manifest_digest = DigestOf(manifest);
  head.manifest = std::move(manifest);
  return head;
}

Json::Value ToJson(const HeadRecord& head) {
  Json::Value value = ToJson(head.change);
  value["previous_digest"] = head.previous_digest;
  value["manifest_digest"] = head.manifest_digest;
  Json::Value& manifest = value["manifest"] = Json::Value(Json::objectValue);
  for (const ManifestEntry& it : head.manifest) {
    manifest[it.name.str()] = it.digest;
  }
  return value;
}

HeadRecord ReadHeadRecord(JsonObject& fields) {
  HeadRecord head;
  head.change = ReadConfigVersionRecord(fields);
  head.previous_digest = fields.String("previous_digest", kDigestBytes);
  head.manifest_digest = fields.String("manifest_digest", kDigestBytes);
  head.manifest = ReadManifest(fields.Object("manifest"));
  if (DigestOf(head.manifest) != head.manifest_digest) {
    fields.Fail("manifest_digest", "does not match the manifest");
  }
  return head;
}

Result<HeadRecord> ParseHeadRecord(const std::string& text,
                                   const std::string& source) {
  const Result<Json::Value> value = ParseJson(text, source);
  if (!value) {
    return value.error();
  }
  JsonObject fields(value.value(), source);
  HeadRecord head = ReadHeadRecord(fields);
  const Result<void> checked = fields.Finish();
  if (!checked) {
    return checked.error();
  }
  return head;
}

std::string DigestOf(const HeadRecord& head) {
  return Sha256Hex(ToJsonText(ToJson(head)));
}

}  // namespace cumin
