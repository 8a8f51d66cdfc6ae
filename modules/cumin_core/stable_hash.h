#pragma once

#include <cstdint>
#include <string>

namespace cumin {

/** @returns the XXH64 of the bytes with seed 0. It is equal on all VMs and in
    all versions, so that key placement and member ranking agree everywhere. Not
    collision-resistant against chosen input. */
std::uint64_t StableHash(const std::string& bytes);

}  // namespace cumin
