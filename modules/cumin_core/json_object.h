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

    Each getter checks presence, type and bounds. A getter that fails returns an
    empty value, so that the calling code can read all fields and check for
    errors once at the end. Child objects share the error of the object that
    they came from. Unknown fields are ignored, so that newer versions can add
    fields.

    @code
    JsonObject root(value, "config/head");
    record.version = root.Unsigned("version");
    Result<void> checked = root.Finish();
    @endcode
*/
class JsonObject {
 public:
  /** @param value   must outlive this reader and its child objects
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

  /** Reads a non-negative integer. */
  std::uint64_t Unsigned(const std::string& field);

  /** Reads an integer. */
  std::int64_t Int(const std::string& field);

  /** Reads an integer or floating-point number. */
  double Number(const std::string& field);

  bool Bool(const std::string& field);

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

  /** Records an error at a field, for checks that involve several fields. */
  void Fail(const std::string& field, const std::string& reason);

  /** @returns success, or the first error of the root object and all its child
      objects */
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
