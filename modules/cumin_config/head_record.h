#pragma once

#include <json/json.h>

#include <string>
#include <vector>

#include "cumin_config/config_version_record.h"
#include "cumin_core/error.h"

namespace cumin {

/** One part of a configuration and the digest of its text. */
struct ManifestEntry {
  PartName name;
  /** SHA-256 of the text, in hexadecimal. */
  std::string digest;

  friend bool operator==(const ManifestEntry& a, const ManifestEntry& b) {
    return a.name == b.name && a.digest == b.digest;
  }
  friend bool operator<(const ManifestEntry& a, const ManifestEntry& b) {
    return a.name != b.name ? a.name < b.name : a.digest < b.digest;
  }
};

/** The parts of one configuration, ordered by name, each name once. */
using Manifest = std::vector<ManifestEntry>;

/** @returns the entry of a part, or null */
const ManifestEntry* FindEntry(const Manifest& manifest, const PartName& name);

/** @returns the SHA-256 of the manifest's lines "name digest" */
std::string DigestOf(const Manifest& manifest);

/** @returns the names whose entries differ between two manifests, ordered */
std::vector<PartName> ChangedParts(const Manifest& from, const Manifest& to);

/** One accepted configuration version: what the store's head key holds.

    The record names its parts by digest, so that it and the parts can be
    checked wherever they come from.
*/
struct HeadRecord {
  ConfigVersionRecord change;
  /** Digest of the head record of the version before; empty for version 1. */
  std::string previous_digest;
  Manifest manifest;
  std::string manifest_digest;

  friend bool operator==(const HeadRecord& a, const HeadRecord& b) {
    return a.change == b.change && a.previous_digest == b.previous_digest &&
           a.manifest == b.manifest && a.manifest_digest == b.manifest_digest;
  }
  friend bool operator!=(const HeadRecord& a, const HeadRecord& b) {
    return !(a == b);
  }
};

/** Makes the record of the next version.
    @param change    who, when and which version; changed parts are filled in
    @param previous  the version before, or null for the first
    @param manifest  in any order */
HeadRecord MakeHeadRecord(ConfigVersionRecord change,
                          const HeadRecord* previous, Manifest manifest);

/** @returns the record as a JSON object */
Json::Value ToJson(const HeadRecord& head);

/** Reads a record and checks the manifest's digest; errors are kept by the
    reader. */
HeadRecord ReadHeadRecord(JsonObject& fields);

/** Parses a record as the store holds it.
    @param source  the store key to name in errors
    @returns the record, or ErrorCode::kInvalid */
Result<HeadRecord> ParseHeadRecord(const std::string& text,
                                   const std::string& source);

/** @returns the digest that the next version's record refers to */
std::string DigestOf(const HeadRecord& head);

}  // namespace cumin
