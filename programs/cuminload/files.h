#pragma once

#include <string>

#include "cumin_core/error.h"

namespace cumin::load {

/** @returns the file's text, or kNotFound */
Result<std::string> ReadTextFile(const std::string& path);

/** Replaces a file.
    @returns kUnavailable when it cannot be written */
Result<void> WriteTextFile(const std::string& path, const std::string& text);

}  // namespace cumin::load
