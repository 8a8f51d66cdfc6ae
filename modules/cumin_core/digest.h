#pragma once

#include <cstdint>
#include <string>

namespace cumin {

/** @returns the SHA-256 of the bytes as 64 lower-case hexadecimal digits */
std::string Sha256Hex(const std::string& bytes);

/** @returns the first 64 bits of the SHA-256 of the bytes; equal on every VM,
    so it places keys and ranks members the same way everywhere */
std::uint64_t StableHash(const std::string& bytes);

}  // namespace cumin
