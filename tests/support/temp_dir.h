#pragma once

#include <filesystem>
#include <string>

namespace cumin::test {

/** A new directory that is removed with this. */
class TempDir {
 public:
  TempDir();
  ~TempDir();

  TempDir(const TempDir&) = delete;
  TempDir& operator=(const TempDir&) = delete;

  /** @returns the path of a file in the directory */
  std::string File(const std::string& name) const;

  /** Writes a file.
      @returns its path */
  std::string Write(const std::string& name, const std::string& text) const;

 private:
  std::filesystem::path path_;
};

}  // namespace cumin::test
