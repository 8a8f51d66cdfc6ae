#pragma once

#include <filesystem>
#include <string>

namespace cumin::test {

/** A temporary directory, removed with its contents by the destructor. */
class TempDir {
 public:
  TempDir();
  ~TempDir();

  TempDir(const TempDir&) = delete;
  TempDir& operator=(const TempDir&) = delete;

  /** @returns the path of a file of this name in the directory */
  std::string File(const std::string& name) const;

  /** Writes a file in the directory.
      @returns the path of the file */
  std::string Write(const std::string& name, const std::string& text) const;

 private:
  std::filesystem::path path_;
};

}  // namespace cumin::test
