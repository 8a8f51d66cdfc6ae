#pragma once

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <vector>

#include "cumin_core/error.h"

namespace cumin {

/** Reads the fields of one YAML mapping and keeps the first error.

    Each getter checks presence, type and range. A getter that fails returns its
    fallback, so that the calling code can read all fields and check for errors
    once at the end. Fields that were not read are reported as unknown.

    @code
    YamlObject root = YamlObject::Parse(text, "cumind.yaml");
    settings.workers = root.Int("workers", 4, 1, 256);
    Result<void> checked = root.Finish();
    @endcode
*/
class YamlObject {
 public:
  /** Parses a document whose root is a mapping.
      @param text    the document
      @param source  the file or key to name in errors */
  static YamlObject Parse(const std::string& text, const std::string& source);

  /** @returns true when the field is present and not null */
  bool Has(const std::string& field) const;

  /** Reads a string of 1 to max_length bytes; required. */
  std::string RequiredString(const std::string& field,
                             std::size_t max_length = kMaxStringBytes);

  /** Reads an optional string. */
  std::string String(const std::string& field, const std::string& fallback,
                     std::size_t max_length = kMaxStringBytes);

  /** Reads a name: letters, digits, '-', '_' and '.', 1 to 64 bytes; required.
   */
  std::string RequiredName(const std::string& field);

  /** Reads a required integer in [min, max]. */
  std::int64_t RequiredInt(const std::string& field, std::int64_t min,
                           std::int64_t max);

  /** Reads an optional integer in [min, max]. */
  std::int64_t Int(const std::string& field, std::int64_t fallback,
                   std::int64_t min, std::int64_t max);

  /** Reads an optional number in [min, max]. */
  double Number(const std::string& field, double fallback, double min,
                double max);

  /** Reads an optional boolean. */
  bool Bool(const std::string& field, bool fallback);

  /** Reads a string that must be one of the choices.
      @param fallback  used when absent; empty makes the field required */
  std::string Choice(const std::string& field,
                     const std::vector<std::string>& choices,
                     const std::string& fallback);

  /** Reads an optional list of strings. */
  std::vector<std::string> Strings(const std::string& field);

  /** Reads an optional mapping; empty when absent. Call `Absorb` with the child
      after reading its fields. */
  YamlObject Object(const std::string& field);

  /** Reads an optional list of mappings. Call `Absorb` with each child after
      reading its fields. */
  std::vector<YamlObject> Objects(const std::string& field);

  /** Checks the child for unknown fields and adopts its first error, if any. */
  void Absorb(YamlObject& child);

  /** Records an error at a field, for checks that involve several fields. */
  void Fail(const std::string& field, const std::string& reason);

  /** Checks for unknown fields.
      @returns success, or the first error */
  Result<void> Finish();

  /** @returns the 1-based line of this mapping; 0 when unknown */
  int line() const;

 private:
  static constexpr std::size_t kMaxStringBytes = 1024;

  YamlObject(const YAML::Node& node, std::string source, std::string path);

  YAML::Node Find(const std::string& field);
  YAML::Node FindRequired(const std::string& field);
  std::string PathOf(const std::string& field) const;
  void FailAt(const YAML::Node& node, const std::string& field,
              const std::string& reason);
  void CheckUnknownFields();
  std::string CheckedString(const YAML::Node& node, const std::string& field,
                            std::size_t max_length);
  std::int64_t CheckedInt(const YAML::Node& node, const std::string& field,
                          std::int64_t fallback, std::int64_t min,
                          std::int64_t max);

  YAML::Node node_;
  std::string source_;
  std::string path_;
  std::set<std::string> known_fields_;
  bool failed_ = false;
  Error first_error_;
};

}  // namespace cumin
