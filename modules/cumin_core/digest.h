#pragma once

#include <string>

namespace cumin {

/** @returns the SHA-256 of the bytes as 64 lower-case hexadecimal digits */
std::string Sha256Hex(const std::string& bytes);

}  // namespace cumin
