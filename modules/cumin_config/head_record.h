#pragma once

#include <json/json.h>

#include <string>
#include <vector>

#include "cumin_config/config_version_record.h"
#include "cumin_core/error.h"

namespace cumin {

/** Name of a configuration part and digest of its text. */
struct ManifestEntry {
  PartName name;
  /** SHA-256 of the text, hexadecimal. */
  std::string digest;

  friend bool operator==(const ManifestEntry& a, const ManifestEntry& b) {
    return a.name == b.name && a.digest == b.digest;
  }
  friend bool operator<(const ManifestEntry& a, const ManifestEntry& b) {
    return a.name != b.name ? a.name < b.name : a.digest < b.digest;
  }
};

/** The parts of a configuration, ordered by name, without duplicates. */
using Manifest = std::vector<ManifestEntry>;

/** @returns the entry of the part, or null */
const ManifestEntry* FindEntry(const Manifest& manifest, const PartName& name);

/** @returns the SHA-256 of the manifest serialised as lines of "name digest" */
std::string DigestOf(const Manifest& manifest);

/** @returns the names of the parts that were added, removed or modified, in
    order */
std::vector<PartName> ChangedParts(const Manifest& from, const Manifest& to);

/** Record of an accepted configuration version, as stored under the head key.

    Refers to its parts by digest, so the record and the parts can be verified
    regardless of where they were received from.
*/
struct HeadRecord {
  ConfigVersionRecord change;
  /** Digest of the preceding version's head record; empty for version 1. */
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

/** Creates the record of a new version.
    @param change    author, time and version number; `changed_parts` is
                     computed
    @param previous  the preceding version, or null for the first
    @param manifest  entries in any order */
HeadRecord MakeHeadRecord(ConfigVersionRecord change,
                          const HeadRecord* previous, Manifest manifest);

/** @returns the record as a JSON object */
Json::Value ToJson(const HeadRecord& head);

/** Reads a record and checks the manifest's digest; errors are recorded in
    `fields`. */
HeadRecord ReadHeadRecord(JsonObject& fields);

/** Parses a record from its stored form.
    @param source  store key for error messages
    @returns the record, or ErrorCode::kInvalid */
Result<HeadRecord> ParseHeadRecord(const std::string& text,
                                   const std::string& source);

/** @returns the digest of the record, used as `previous_digest` of the next
    version */
std::string DigestOf(const HeadRecord& head);

}  // namespace cumin
