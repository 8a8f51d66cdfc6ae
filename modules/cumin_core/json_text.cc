#include "cumin_core/json_text.h"

#include <memory>

namespace cumin {

namespace {

constexpr int kMaxDepth = 32;

}  // namespace

std::string ToJsonText(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

Result<Json::Value> ParseJson(const std::string& text,
                              const std::string& source) {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["stackLimit"] = kMaxDepth;
  builder["strictRoot"] = false;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  std::string error_message;
  bool parsed = false;
  try {
    parsed = reader->parse(text.data(), text.data() + text.size(), &value,
                           &error_message);
  } catch (const Json::Exception& e) {
    error_message = e.what();
  }
  if (!parsed) {
    return Error{ErrorCode::kInvalid, source, 0, "",
                 "malformed JSON: " + error_message};
  }
  return value;
}

}  // namespace cumin
