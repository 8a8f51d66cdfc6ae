#pragma once

#include <cstdint>
#include <string>

namespace cumin {

/** The store key that holds the newest HeadRecord. */
constexpr char kHeadKey[] = "config/head";

/** @returns the key that holds a part's text; immutable once written */
inline std::string PartKey(const std::string& digest) {
  return "config/part/" + digest;
}

/** @returns the key that holds a copy of an earlier version's head record;
    immutable once written */
inline std::string VersionKey(std::uint64_t version) {
  return "config/version/" + std::to_string(version);
}

}  // namespace cumin
