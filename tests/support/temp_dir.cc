#include "support/temp_dir.h"

#include <cstdlib>
#include <fstream>
#include <stdexcept>
#include <system_error>

namespace cumin::test {

TempDir::TempDir() {
  std::string name =
      (std::filesystem::temp_directory_path() / "cumin-test-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary directory");
  }
  path_ = name;
}

TempDir::~TempDir() {
  std::error_code ec;
  std::filesystem::remove_all(path_, ec);
}

std::string TempDir::File(const std::string& name) const {
  return (path_ / name).string();
}

std::string TempDir::Write(const std::string& name,
                           const std::string& text) const {
  std::ofstream(File(name)) << text;
  return File(name);
}

}  // namespace cumin::test
