#pragma once

#include <json/json.h>

#include <string>
#include <vector>

#include "cumin_config/config_snapshot.h"
#include "cumin_config/head_record.h"
#include "cumin_core/error.h"

namespace cumin {

/** The most bytes of one part's text. */
constexpr std::size_t kMaxPartBytes = std::size_t{256} * 1024;

/** The most bytes of all texts of a bundle. */
constexpr std::size_t kMaxBundleBytes = std::size_t{16} * 1024 * 1024;

/** One part of a configuration as its operator wrote it. */
struct ConfigPart {
  PartName name;
  /** A YAML document: the mesh, or one customer's contract. */
  std::string text;

  friend bool operator==(const ConfigPart& a, const ConfigPart& b) {
    return a.name == b.name && a.text == b.text;
  }
};

/** Parses one document on its own and finds which part it is.
    @param text    YAML
    @param source  the file to name in errors
    @returns the part, or ErrorCode::kInvalid with line, field and range */
Result<ConfigPart> IdentifyPart(std::string text, const std::string& source);

/** One whole configuration version: its head record and the texts of all its
    parts. This is the unit that daemons hold and pass on. */
struct ConfigBundle {
  HeadRecord head;
  /** In the order of the head's manifest. */
  std::vector<ConfigPart> parts;

  /** @returns the part, or null */
  const ConfigPart* FindPart(const PartName& name) const;

  friend bool operator==(const ConfigBundle& a, const ConfigBundle& b) {
    return a.head == b.head && a.parts == b.parts;
  }
};

/** Checks that the parts are those that the manifest names.
    @returns success, or ErrorCode::kInvalid with the first part that differs */
Result<void> CheckParts(const HeadRecord& head,
                        const std::vector<ConfigPart>& parts);

/** Validates a bundle whole: sizes, digests, each part on its own, and the
    references between parts.
    @returns the snapshot, or the first error; never a part of the version */
Result<RefPtr<const ConfigSnapshot>> MakeSnapshot(const ConfigBundle& bundle);

/** @returns the bundle as a JSON object */
Json::Value ToJson(const ConfigBundle& bundle);

/** Reads a bundle and checks sizes and digests; errors are kept by the reader.
 */
ConfigBundle ReadConfigBundle(JsonObject& fields);

/** @returns the part as a JSON object */
Json::Value ToJson(const ConfigPart& part);

/** Reads a list of parts; errors are kept by the reader. */
std::vector<ConfigPart> ReadConfigParts(JsonObject& fields,
                                        const std::string& field);

}  // namespace cumin
