#pragma once

#include <string>
#include <vector>

#include "cumin_config/change_request.h"
#include "cumin_core/error.h"

namespace cumin {

/** Reads documents, one mesh or contract per file, and validates each on its
    own.
    @returns one edit per file, or the first error with file, line and field */
Result<std::vector<PartEdit>> ReadDocuments(
    const std::vector<std::string>& paths);

}  // namespace cumin
