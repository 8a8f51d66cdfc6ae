#pragma once

#include <cstdint>
#include <string>

namespace cumin {

/** Store key of the newest HeadRecord. */
constexpr char kHeadKey[] = "config/head";

/** @returns the store key of a part's text; its value never changes once
    written */
inline std::string PartKey(const std::string& digest) {
  return "config/part/" + digest;
}

/** @returns the store key of the copy of a replaced head record; its value
    never changes once written */
inline std::string VersionKey(std::uint64_t version) {
  return "config/version/" + std::to_string(version);
}

}  // namespace cumin
