#pragma once

#include <json/json.h>

#include <string>
#include <vector>

#include "cumin_config/config_snapshot.h"
#include "cumin_config/head_record.h"
#include "cumin_core/error.h"

namespace cumin {

/** Maximum size of one part's text, in bytes. */
constexpr std::size_t kMaxPartBytes = std::size_t{256} * 1024;

/** Maximum total size of the texts of a bundle, in bytes. */
constexpr std::size_t kMaxBundleBytes = std::size_t{16} * 1024 * 1024;

/** One part of a configuration, in the text form that the operator wrote. */
struct ConfigPart {
  PartName name;
  /** YAML document: the mesh or one customer's contract. */
  std::string text;

  friend bool operator==(const ConfigPart& a, const ConfigPart& b) {
    return a.name == b.name && a.text == b.text;
  }
};

/** Parses a single document and determines which part it is.
    @param text    YAML
    @param source  file name for error messages
    @returns the part, or ErrorCode::kInvalid with line, field and valid
    range */
Result<ConfigPart> IdentifyPart(std::string text, const std::string& source);

/** One complete configuration version: its head record and the texts of all its
    parts. Daemons store and replicate configuration in this unit. */
struct ConfigBundle {
  HeadRecord head;
  /** Ordered as in the head's manifest. */
  std::vector<ConfigPart> parts;

  /** @returns the part, or null */
  const ConfigPart* FindPart(const PartName& name) const;

  friend bool operator==(const ConfigBundle& a, const ConfigBundle& b) {
    return a.head == b.head && a.parts == b.parts;
  }
};

/** Checks names and digests of the parts against the head's manifest.
    @returns success, or ErrorCode::kInvalid with the first part that differs */
Result<void> CheckParts(const HeadRecord& head,
                        const std::vector<ConfigPart>& parts);

/** Validates a complete bundle: sizes, digests, each part by itself, and the
    references between parts.
    @returns the snapshot of the complete version, or the first error */
Result<RefPtr<const ConfigSnapshot>> MakeSnapshot(const ConfigBundle& bundle);

/** @returns the bundle as a JSON object */
Json::Value ToJson(const ConfigBundle& bundle);

/** Reads a bundle and checks sizes and digests; errors are recorded in
    `fields`. */
ConfigBundle ReadConfigBundle(JsonObject& fields);

/** @returns the part as a JSON object */
Json::Value ToJson(const ConfigPart& part);

/** Reads a list of parts; errors are recorded in `fields`. */
std::vector<ConfigPart> ReadConfigParts(JsonObject& fields,
                                        const std::string& field);

}  // namespace cumin
