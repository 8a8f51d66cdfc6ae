#include "cumin_core/json_object.h"

#include <utility>

namespace cumin {

JsonObject::JsonObject(const Json::Value& value, std::string source)
    : JsonObject(value, std::move(source), "", std::make_shared<FirstError>()) {
}

JsonObject::JsonObject(const Json::Value& value, std::string source,
                       std::string path,
                       std::shared_ptr<FirstError> first_error)
    : value_(&value),
      source_(std::move(source)),
      path_(std::move(path)),
      first_error_(std::move(first_error)) {
  if (!value_->isObject()) {
    value_ = &Json::Value::nullSingleton();
    Fail("", "must be an object");
  }
}

bool JsonObject::Has(const std::string& field) const {
  return value_->isObject() && !(*value_)[field].isNull();
}

std::string JsonObject::String(const std::string& field,
                               std::size_t max_bytes) {
  const Json::Value& it = Find(field, "a string", &Json::Value::isString);
  if (it.isNull()) {
    return "";
  }
  std::string text = it.asString();
  if (text.size() > max_bytes) {
    Fail(field, "must have at most " + std::to_string(max_bytes) + " bytes");
    return "";
  }
  return text;
}

std::uint64_t JsonObject::Unsigned(const std::string& field) {
  const Json::Value& it =
      Find(field, "a whole number from 0", &Json::Value::isUInt64);
  return it.isNull() ? 0 : it.asUInt64();
}

std::int64_t JsonObject::Int(const std::string& field) {
  const Json::Value& it = Find(field, "a whole number", &Json::Value::isInt64);
  return it.isNull() ? 0 : it.asInt64();
}

double JsonObject::Number(const std::string& field) {
  const Json::Value& it = Find(field, "a number", &Json::Value::isNumeric);
  return it.isNull() ? 0 : it.asDouble();
}

bool JsonObject::Bool(const std::string& field) {
  return Find(field, "true or false", &Json::Value::isBool).asBool();
}

JsonObject JsonObject::Object(const std::string& field) {
  return {Find(field, "an object", &Json::Value::isObject), source_,
          PathOf(field), first_error_};
}

std::vector<JsonObject> JsonObject::Objects(const std::string& field,
                                            std::size_t max_count) {
  std::vector<JsonObject> children;
  const Json::Value& list = Find(field, "a list", &Json::Value::isArray);
  if (list.size() > max_count) {
    Fail(field, "must have at most " + std::to_string(max_count) + " items");
    return children;
  }
  for (Json::ArrayIndex i = 0; i < list.size(); ++i) {
    const std::string path = PathOf(field) + "[" + std::to_string(i) + "]";
    children.push_back(JsonObject(list[i], source_, path, first_error_));
  }
  return children;
}

std::vector<std::string> JsonObject::Strings(const std::string& field,
                                             std::size_t max_count,
                                             std::size_t max_bytes) {
  std::vector<std::string> texts;
  const Json::Value& list = Find(field, "a list", &Json::Value::isArray);
  if (list.size() > max_count) {
    Fail(field, "must have at most " + std::to_string(max_count) + " items");
    return texts;
  }
  for (const Json::Value& it : list) {
    if (!it.isString() || it.asString().size() > max_bytes) {
      Fail(field, "must hold strings of at most " + std::to_string(max_bytes) +
                      " bytes");
      return {};
    }
    texts.push_back(it.asString());
  }
  return texts;
}

std::vector<std::string> JsonObject::Fields() const {
  return value_->isObject() ? value_->getMemberNames()
                            : std::vector<std::string>();
}

void JsonObject::Fail(const std::string& field, const std::string& reason) {
  if (first_error_->failed) {
    return;
  }
  first_error_->failed = true;
  first_error_->error =
      Error{ErrorCode::kInvalid, source_, 0, PathOf(field), reason};
}

Result<void> JsonObject::Finish() const {
  if (first_error_->failed) {
    return first_error_->error;
  }
  return Ok();
}

const Json::Value& JsonObject::Find(const std::string& field, const char* type,
                                    bool (Json::Value::*is_type)() const) {
  if (!value_->isObject()) {
    return Json::Value::nullSingleton();
  }
  const Json::Value& it = (*value_)[field];
  if (!(it.*is_type)()) {
    Fail(field, it.isNull() ? "is required" : std::string("must be ") + type);
    return Json::Value::nullSingleton();
  }
  return it;
}

std::string JsonObject::PathOf(const std::string& field) const {
  if (path_.empty() || field.empty()) {
    return path_ + field;
  }
  return path_ + "." + field;
}

}  // namespace cumin
