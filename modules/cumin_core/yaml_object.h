#pragma once

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <vector>

#include "cumin_core/error.h"

namespace cumin {

/** Reads the fields of one YAML mapping and collects the first error.

    Each getter checks presence, type and range. After the first error the
    getters return their fallbacks, so a reader can read all its fields and
    check once at the end. Fields that nobody asked for are errors.

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

  /** Reads a string that may be absent. */
  std::string String(const std::string& field, const std::string& fallback,
                     std::size_t max_length = kMaxStringBytes);

  /** Reads a name: letters, digits, '-', '_' and '.', 1 to 64 bytes; required.
   */
  std::string RequiredName(const std::string& field);

  /** Reads a whole number in [min, max]; required. */
  std::int64_t RequiredInt(const std::string& field, std::int64_t min,
                           std::int64_t max);

  /** Reads a whole number in [min, max] that may be absent. */
  std::int64_t Int(const std::string& field, std::int64_t fallback,
                   std::int64_t min, std::int64_t max);

  /** Reads a number in [min, max] that may be absent. */
  double Number(const std::string& field, double fallback, double min,
                double max);

  /** Reads true or false that may be absent. */
  bool Bool(const std::string& field, bool fallback);

  /** Reads one of the listed words.
      @param fallback  used when absent; empty makes the field required */
  std::string Choice(const std::string& field,
                     const std::vector<std::string>& choices,
                     const std::string& fallback);

  /** Reads a list of strings that may be absent. */
  std::vector<std::string> Strings(const std::string& field);

  /** Reads a mapping that may be absent; absent reads as empty. Call
      `Absorb` with the child when done with it. */
  YamlObject Object(const std::string& field);

  /** Reads a list of mappings that may be absent. Call `Absorb` with each
      child when done with it. */
  std::vector<YamlObject> Objects(const std::string& field);

  /** Takes over the child's first error, or its unknown fields. */
  void Absorb(YamlObject& child);

  /** Records an error at a field, for checks across fields. */
  void Fail(const std::string& field, const std::string& reason);

  /** @returns success, or the first error or unknown field */
  Result<void> Finish();

  /** @returns the line of this mapping, counted from 1 */
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
