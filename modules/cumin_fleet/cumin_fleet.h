#pragma once

/** @file
    cumin_fleet: which daemons there are, what targets they announce, and how
    configuration versions and membership changes travel between them.

    Decisions only: no socket, thread, sleep, clock or randomness of its own.

    Depends on: cumin_core, cumin_config.
*/

#include "cumin_fleet/member.h"
