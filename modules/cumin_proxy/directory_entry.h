#pragma once

#include <string>

#include "cumin_core/error.h"
#include "cumin_fleet/member.h"

namespace cumin {

/** The store prefix of the directory in which daemons find each other. */
constexpr char kDirectoryPrefix[] = "fleet/";

/** @returns a member's directory entry as JSON text */
std::string EncodeDirectoryEntry(const Member& member);

/** Reads a directory entry.
    @param text    the store's value
    @param source  the store's key, to name in errors
    @returns the member, or kInvalid when the value is not such an entry */
Result<Member> DecodeDirectoryEntry(const std::string& text,
                                    const std::string& source);

}  // namespace cumin
