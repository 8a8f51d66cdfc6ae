#pragma once

/** @file
    cumin_config: contracts, configuration versions and their activation.

    Value types (Mesh, Contract, HeadRecord, ConfigBundle, ConfigDelta,
    ConfigSnapshot) and logic without I/O (validation, acceptance, activation of
    newer versions only, readiness, status reports). ConfigAcceptor and
    ConfigStoreReader access the abstract Store.

    Depends on: cumin_core, cumin_store (the Store interface only).
*/

#include "cumin_config/acceptance_outcome.h"
#include "cumin_config/acceptance_plan.h"
#include "cumin_config/change_request.h"
#include "cumin_config/config_acceptor.h"
#include "cumin_config/config_bundle.h"
#include "cumin_config/config_candidate.h"
#include "cumin_config/config_delta.h"
#include "cumin_config/config_diff.h"
#include "cumin_config/config_history.h"
#include "cumin_config/config_keys.h"
#include "cumin_config/config_queries.h"
#include "cumin_config/config_replica.h"
#include "cumin_config/config_snapshot.h"
#include "cumin_config/config_store_reader.h"
#include "cumin_config/config_version_record.h"
#include "cumin_config/contract.h"
#include "cumin_config/head_record.h"
#include "cumin_config/member_version_report.h"
#include "cumin_config/mesh.h"
#include "cumin_config/readiness_rule.h"
#include "cumin_config/recent_deltas.h"
#include "cumin_config/status_report.h"
#include "cumin_config/version_gate.h"
#include "cumin_config/wall_time_text.h"
