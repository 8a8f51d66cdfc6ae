#include "cuminload/files.h"

#include <fstream>
#include <sstream>

namespace cumin::load {

Result<std::string> ReadTextFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return Error{ErrorCode::kNotFound, path, 0, "", "file cannot be read"};
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

Result<void> WriteTextFile(const std::string& path, const std::string& text) {
  std::ofstream file(path);
  file << text;
  file.close();
  if (!file) {
    return Error{ErrorCode::kUnavailable, path, 0, "",
                 "file cannot be written"};
  }
  return Ok();
}

}  // namespace cumin::load
