#pragma once

#include <json/json.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "cumin_core/error.h"
#include "cumin_core/identifier.h"

namespace cumin {

/** Reads the fields of one JSON object and keeps the first error.

    Each getter checks presence, type and bounds. After the first error the
    getters return empty values, so a reader can read all its fields and check
    once at the end. Children share the error of the object they came from.
    Fields that nobody asks for are ignored, so that a newer process may add
    some.

    @code
    JsonObject root(value, "config/head");
    record.version = root.Unsigned("version");
    Result<void> checked = root.Finish();
    @endcode
*/
class JsonObject {
 public:
  /** @param value   must outlive this reader and its children
      @param source  the key, file or peer to name in errors */
  JsonObject(const Json::Value& value, std::string source);

  /** @returns true when the field is present and not null */
  bool Has(const std::string& field) const;

  /** Reads a string of at most max_bytes bytes. */
  std::string String(const std::string& field, std::size_t max_bytes);

  /** Reads an identifier of at most max_bytes bytes.
      @tparam Id  an Identifier */
  template <typename Id>
  Id Name(const std::string& field, std::size_t max_bytes = kMaxNameBytes) {
    return Id(String(field, max_bytes));
  }

  /** Reads a whole number that is not negative. */
  std::uint64_t Unsigned(const std::string& field);

  /** Reads a whole number. */
  std::int64_t Int(const std::string& field);

  /** Reads a number, whole or not. */
  double Number(const std::string& field);

  /** Reads true or false. */
  bool Bool(const std::string& field);

  /** Reads an object. */
  JsonObject Object(const std::string& field);

  /** Reads a list of at most max_count objects. */
  std::vector<JsonObject> Objects(const std::string& field,
                                  std::size_t max_count);

  /** Reads a list of at most max_count strings. */
  std::vector<std::string> Strings(const std::string& field,
                                   std::size_t max_count,
                                   std::size_t max_bytes = kMaxNameBytes);

  /** @returns the names of the object's fields, in order */
  std::vector<std::string> Fields() const;

  /** Records an error at a field, for checks across fields. */
  void Fail(const std::string& field, const std::string& reason);

  /** @returns success, or the first error of this object and its relatives */
  Result<void> Finish() const;

 private:
  static constexpr std::size_t kMaxNameBytes = 256;

  struct FirstError {
    bool failed = false;
    Error error;
  };

  JsonObject(const Json::Value& value, std::string source, std::string path,
             std::shared_ptr<FirstError> first_error);

  const Json::Value& Find(const std::string& field, const char* type,
                          bool (Json::Value::*is_type)() const);
  std::string PathOf(const std::string& field) const;

  const Json::Value* value_;
  std::string source_;
  std::string path_;
  std::shared_ptr<FirstError> first_error_;
};

}  // namespace cumin
