#include "cuminctl/output.h"

#include <iostream>

#include "cumin_core/json_text.h"

namespace cumin {

void Output::Write(const std::string& text, const Json::Value& value) const {
  std::cout << (json_ ? ToJsonText(value) + "\n" : text) << std::flush;
}

ExitCode Output::Fail(const Error& error) const {
  if (!json_) {
    std::cerr << "cuminctl: " << error << std::endl;
    return ToExitCode(error);
  }
  Json::Value value(Json::objectValue);
  value["error"] = Describe(error);
  value["code"] = ToString(error.code);
  std::cout << ToJsonText(value) << std::endl;
  return ToExitCode(error);
}

void Output::Note(const std::string& text) const {
  if (!json_) {
    std::cerr << text << std::endl;
  }
}

}  // namespace cumin
