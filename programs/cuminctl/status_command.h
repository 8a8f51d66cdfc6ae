#pragma once

#include <string>

#include "cumin_core/time.h"
#include "cuminctl/config_source.h"
#include "cuminctl/daemon_client.h"
#include "cuminctl/exit_code.h"
#include "cuminctl/output.h"

namespace cumin {

/** `cuminctl status`: reports the version in force on each daemon.
    @param client  client of the daemons to query
    @param store   the store to compare with, or null
    @param at      time for which to show the version in force, or empty
    @param now     the current wall-clock time */
ExitCode RunStatus(DaemonClient& client, ConfigSource* store,
                   const std::string& at, WallTime now, const Output& output);

}  // namespace cumin
