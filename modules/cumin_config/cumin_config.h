#pragma once

/** @file
    cumin_config: contracts, configuration versions and their way into force.

    Values (Mesh, Contract, Configuration, ConfigSnapshot) and decisions
    (validation, acceptance, forward-only swap, delta, readback) without I/O.

    Depends on: cumin_core, cumin_store (the Store interface only).
*/

#include "cumin_config/config_snapshot.h"
#include "cumin_config/contract.h"
#include "cumin_config/mesh.h"
