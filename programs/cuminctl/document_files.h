#pragma once

#include <string>
#include <vector>

#include "cumin_config/change_request.h"
#include "cumin_core/error.h"

namespace cumin {

/** Reads documents, one mesh or contract a file, and checks each on its own.
    @param paths  the files
    @returns an edit for each, or the first error with file, line and field */
Result<std::vector<PartEdit>> ReadDocuments(
    const std::vector<std::string>& paths);

}  // namespace cumin
