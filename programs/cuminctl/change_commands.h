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

/** `cuminctl validate`: validates each document on its own and, when a mesh
    document or a source is given, the complete configuration that would result.
    @param paths   paths of the documents
    @param source  source of the configuration in force, or null */
ExitCode RunValidate(const std::vector<std::string>& paths,
                     ConfigSource* source, const Output& output);

/** `cuminctl apply` and `cuminctl rollback`: writes the next version.
    @param request  the change; the documents' edits are appended to it
    @param paths    paths of the documents
    @param store    the store to write to
    @param random   generates the change id, when none is given, and the retry
                    jitter */
ExitCode RunChange(ChangeRequest request, const std::vector<std::string>& paths,
                   Store& store, Random& random, const Output& output);

}  // namespace cumin
