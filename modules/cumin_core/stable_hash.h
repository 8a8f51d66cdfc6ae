#pragma once

#include <cstdint>
#include <string>

namespace cumin {

/** @returns the XXH64 of the bytes; equal on every VM and in every version, so
    it places keys and ranks members the same way everywhere. Not for input that
    an adversary chooses to collide. */
std::uint64_t StableHash(const std::string& bytes);

}  // namespace cumin
