#include "cuminctl/document_files.h"

#include <fstream>
#include <sstream>
#include <utility>

#include "cumin_config/config_bundle.h"

namespace cumin {

namespace {

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) {
    return Error{ErrorCode::kInvalid, path, 0, "",
                 "file cannot be read, or is empty"};
  }
  return text.str();
}

}  // namespace

Result<std::vector<PartEdit>> ReadDocuments(
    const std::vector<std::string>& paths) {
  std::vector<PartEdit> edits;
  for (const std::string& it : paths) {
    Result<std::string> text = ReadFile(it);
    if (!text) {
      return text.error();
    }
    Result<ConfigPart> part = IdentifyPart(std::move(text.value()), it);
    if (!part) {
      return part.error();
    }
    edits.push_back(
        {std::move(part.value().name), std::move(part.value().text)});
  }
  return edits;
}

}  // namespace cumin
