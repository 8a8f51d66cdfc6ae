#pragma once

#include <string>
#include <vector>

#include "cumin_config/change_request.h"
#include "cumin_core/random.h"
#include "cumin_store/store.h"
#include "cuminctl/config_source.h"
#include "cuminctl/exit_code.h"
#include "cuminctl/output.h"

namespace cumin {

/** `cuminctl validate`: checks documents, and the whole configuration that
    they would lead to when a mesh is at hand.
    @param paths   the documents
    @param source  where to read the configuration in force, or null */
ExitCode RunValidate(const std::vector<std::string>& paths,
                     ConfigSource* source, const Output& output);

/** `cuminctl apply` and `cuminctl rollback`: makes the next version.
    @param request  the change; the documents' edits are added
    @param paths    the documents
    @param store    where to write
    @param random   source of the jitter between attempts */
ExitCode RunChange(ChangeRequest request, const std::vector<std::string>& paths,
                   Store& store, Random& random, const Output& output);

}  // namespace cumin
