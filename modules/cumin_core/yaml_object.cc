#include "cumin_core/yaml_object.h"

#include <algorithm>
#include <cctype>
#include <sstream>
#include <utility>

namespace cumin {

namespace {

constexpr std::size_t kMaxNameBytes = 64;

int LineOf(const YAML::Node& node) {
  const YAML::Mark mark = node.Mark();
  return mark.is_null() ? 0 : mark.line + 1;
}

bool IsNameByte(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' ||
         c == '_' || c == '.';
}

template <typename T>
std::string RangeText(T min, T max) {
  std::ostringstream text;
  text << "from " << min << " to " << max;
  return text.str();
}

}  // namespace

YamlObject::YamlObject(const YAML::Node& node, std::string source,
                       std::string path)
    : node_(node), source_(std::move(source)), path_(std::move(path)) {}

YamlObject YamlObject::Parse(const std::string& text,
                             const std::string& source) {
  YamlObject object(YAML::Node(YAML::NodeType::Map), source, "");
  try {
    const YAML::Node root = YAML::Load(text);
    if (root.IsMap()) {
      return YamlObject(root, source, "");
    }
    object.FailAt(root, "", "the document must be a mapping of fields");
  } catch (const YAML::Exception& e) {
    object.failed_ = true;
    object.first_error_ = Error{ErrorCode::kInvalid, source, e.mark.line + 1,
                                "", "malformed YAML: " + e.msg};
  }
  return object;
}

bool YamlObject::Has(const std::string& field) const {
  const YAML::Node& self = node_;
  const YAML::Node child = self[field];
  return child.IsDefined() && !child.IsNull();
}

std::string YamlObject::RequiredString(const std::string& field,
                                       std::size_t max_length) {
  const YAML::Node child = FindRequired(field);
  return child.IsDefined() ? CheckedString(child, field, max_length) : "";
}

std::string YamlObject::String(const std::string& field,
                               const std::string& fallback,
                               std::size_t max_length) {
  const YAML::Node child = Find(field);
  return child.IsDefined() ? CheckedString(child, field, max_length) : fallback;
}

std::string YamlObject::RequiredName(const std::string& field) {
  const std::string name = RequiredString(field, kMaxNameBytes);
  if (!std::all_of(name.begin(), name.end(), IsNameByte)) {
    Fail(field,
         "\"" + name + "\" may hold only letters, digits, '-', '_' and '.'");
  }
  return name;
}

std::int64_t YamlObject::RequiredInt(const std::string& field, std::int64_t min,
                                     std::int64_t max) {
  const YAML::Node child = FindRequired(field);
  return child.IsDefined() ? CheckedInt(child, field, min, min, max) : min;
}

std::int64_t YamlObject::Int(const std::string& field, std::int64_t fallback,
                             std::int64_t min, std::int64_t max) {
  const YAML::Node child = Find(field);
  return child.IsDefined() ? CheckedInt(child, field, fallback, min, max)
                           : fallback;
}

double YamlObject::Number(const std::string& field, double fallback, double min,
                          double max) {
  const YAML::Node child = Find(field);
  if (!child.IsDefined()) {
    return fallback;
  }
  double value = 0;
  const bool parsed =
      child.IsScalar() && YAML::convert<double>::decode(child, value);
  if (!parsed || !(value >= min && value <= max)) {
    FailAt(child, field, "must be a number " + RangeText(min, max));
    return fallback;
  }
  return value;
}

bool YamlObject::Bool(const std::string& field, bool fallback) {
  const YAML::Node child = Find(field);
  if (!child.IsDefined()) {
    return fallback;
  }
  bool value = fallback;
  if (!child.IsScalar() || !YAML::convert<bool>::decode(child, value)) {
    FailAt(child, field, "must be true or false");
  }
  return value;
}

std::string YamlObject::Choice(const std::string& field,
                               const std::vector<std::string>& choices,
                               const std::string& fallback) {
  const YAML::Node child = fallback.empty() ? FindRequired(field) : Find(field);
  if (!child.IsDefined()) {
    return fallback;
  }
  const std::string choice = CheckedString(child, field, kMaxNameBytes);
  if (std::find(choices.begin(), choices.end(), choice) != choices.end()) {
    return choice;
  }
  std::string list;
  for (const std::string& it : choices) {
    list += (list.empty() ? "" : ", ") + it;
  }
  FailAt(child, field, "\"" + choice + "\" must be one of: " + list);
  return fallback;
}

std::vector<std::string> YamlObject::Strings(const std::string& field) {
  std::vector<std::string> list;
  const YAML::Node child = Find(field);
  if (!child.IsDefined()) {
    return list;
  }
  if (!child.IsSequence()) {
    FailAt(child, field, "must be a list");
    return list;
  }
  for (const YAML::Node& it : child) {
    list.push_back(CheckedString(it, field, kMaxStringBytes));
  }
  return list;
}

YamlObject YamlObject::Object(const std::string& field) {
  const YAML::Node child = Find(field);
  if (!child.IsDefined()) {
    return YamlObject(YAML::Node(YAML::NodeType::Map), source_, PathOf(field));
  }
  if (!child.IsMap()) {
    FailAt(child, field, "must be a mapping of fields");
    return YamlObject(YAML::Node(YAML::NodeType::Map), source_, PathOf(field));
  }
  return YamlObject(child, source_, PathOf(field));
}

std::vector<YamlObject> YamlObject::Objects(const std::string& field) {
  std::vector<YamlObject> list;
  const YAML::Node child = Find(field);
  if (!child.IsDefined()) {
    return list;
  }
  if (!child.IsSequence()) {
    FailAt(child, field, "must be a list");
    return list;
  }
  for (std::size_t i = 0; i < child.size(); ++i) {
    const std::string name = field + "[" + std::to_string(i) + "]";
    if (!child[i].IsMap()) {
      FailAt(child[i], name, "must be a mapping of fields");
      return list;
    }
    list.push_back(YamlObject(child[i], source_, PathOf(name)));
  }
  return list;
}

void YamlObject::Absorb(YamlObject& child) {
  child.CheckUnknownFields();
  if (child.failed_ && !failed_) {
    failed_ = true;
    first_error_ = child.first_error_;
  }
}

void YamlObject::Fail(const std::string& field, const std::string& reason) {
  const YAML::Node& self = node_;
  const YAML::Node child = self[field];
  FailAt(child.IsDefined() ? child : node_, field, reason);
}

Result<void> YamlObject::Finish() {
  CheckUnknownFields();
  if (failed_) {
    return first_error_;
  }
  return Ok();
}

int YamlObject::line() const { return LineOf(node_); }

YAML::Node YamlObject::Find(const std::string& field) {
  known_fields_.insert(field);
  if (!Has(field)) {
    return YAML::Node(YAML::NodeType::Undefined);
  }
  const YAML::Node& self = node_;
  return self[field];
}

YAML::Node YamlObject::FindRequired(const std::string& field) {
  const YAML::Node child = Find(field);
  if (!child.IsDefined()) {
    FailAt(node_, field, "is required");
  }
  return child;
}

std::string YamlObject::PathOf(const std::string& field) const {
  return path_.empty() || field.empty() ? path_ + field : path_ + "." + field;
}

void YamlObject::FailAt(const YAML::Node& node, const std::string& field,
                        const std::string& reason) {
  if (failed_) {
    return;
  }
  failed_ = true;
  first_error_ =
      Error{ErrorCode::kInvalid, source_, LineOf(node), PathOf(field), reason};
}

void YamlObject::CheckUnknownFields() {
  for (const auto& it : node_) {
    const std::string name = it.first.IsScalar() ? it.first.Scalar() : "?";
    if (known_fields_.count(name) == 0) {
      FailAt(it.first, name, "unknown field");
      return;
    }
  }
}

std::string YamlObject::CheckedString(const YAML::Node& node,
                                      const std::string& field,
                                      std::size_t max_length) {
  if (!node.IsScalar()) {
    FailAt(node, field, "must be text");
    return "";
  }
  const std::string& text = node.Scalar();
  if (text.empty() || text.size() > max_length) {
    FailAt(node, field,
           "must have a length " + RangeText<std::size_t>(1, max_length) +
               " bytes");
    return "";
  }
  return text;
}

std::int64_t YamlObject::CheckedInt(const YAML::Node& node,
                                    const std::string& field,
                                    std::int64_t fallback, std::int64_t min,
                                    std::int64_t max) {
  std::int64_t value = 0;
  const bool parsed =
      node.IsScalar() && YAML::convert<std::int64_t>::decode(node, value);
  if (!parsed || value < min || value > max) {
    FailAt(node, field, "must be a whole number " + RangeText(min, max));
    return fallback;
  }
  return value;
}

}  // namespace cumin
