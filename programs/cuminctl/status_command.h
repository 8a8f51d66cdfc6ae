#pragma once

#include <string>

#include "cumin_core/time.h"
#include "cuminctl/config_source.h"
#include "cuminctl/daemon_client.h"
#include "cuminctl/exit_code.h"
#include "cuminctl/output.h"

namespace cumin {

/** `cuminctl status`: which version is in force where, as daemons know it.
    @param client  the daemons to ask
    @param store   the store, when it is to be compared with; or null
    @param at      a time from an operator's note, or empty
    @param now     the wall clock */
ExitCode RunStatus(DaemonClient& client, ConfigSource* store,
                   const std::string& at, WallTime now, const Output& output);

}  // namespace cumin
