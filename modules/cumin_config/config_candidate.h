#pragma once

#include <map>
#include <string>

#include "cumin_config/config_bundle.h"
#include "cumin_core/error.h"

namespace cumin {

/** The texts of a configuration that is to become a version, by part. */
using PartTexts = std::map<PartName, std::string>;

/** Builds a version and validates it whole, as each daemon will.
    @param change    who, when and which version; changed parts are filled in
    @param previous  the version before, or null for the first
    @param texts     every part of the version
    @returns the bundle, or the first error; a text that would not reach the
             daemons unchanged, such as one that is not UTF-8, is an error */
Result<ConfigBundle> MakeCandidate(const ConfigVersionRecord& change,
                                   const HeadRecord* previous,
                                   const PartTexts& texts);

/** Checks that no service changes into how many shards its idempotency keys are
    split. Another number would give keys to other owners, which don't remember
    them, so that a call could run again.
    @param old_mesh  the mesh document in force
    @param new_mesh  the one that is to replace it
    @returns success, or ErrorCode::kInvalid naming the service; documents that
             do not parse are left to the validation of the whole */
Result<void> CheckShardsKept(const std::string& old_mesh,
                             const std::string& new_mesh);

}  // namespace cumin
