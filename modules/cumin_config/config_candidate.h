#pragma once

#include <map>
#include <string>

#include "cumin_config/config_bundle.h"
#include "cumin_core/error.h"

namespace cumin {

/** The texts of a configuration that is not yet a version, by part. */
using PartTexts = std::map<PartName, std::string>;

/** Builds a version and validates it as a whole, as every daemon will.
    @param change    author, time and version number; `changed_parts` is
                     computed
    @param previous  the preceding version, or null for the first
    @param texts     all parts of the version
    @returns the bundle, or the first error. Text that would not reach the
             daemons unchanged, such as invalid UTF-8, is an error */
Result<ConfigBundle> MakeCandidate(const ConfigVersionRecord& change,
                                   const HeadRecord* previous,
                                   const PartTexts& texts);

/** Checks that no service changes the number of shards of its idempotency keys.
    A different number would assign keys to owners that have no record of them,
    so a call could run a second time.
    @param old_mesh  the mesh document in force
    @param new_mesh  the mesh document that replaces it
    @returns success, or ErrorCode::kInvalid naming the service. Documents that
             do not parse pass; MakeCandidate reports them */
Result<void> CheckShardCountsUnchanged(const std::string& old_mesh,
                                       const std::string& new_mesh);

}  // namespace cumin
