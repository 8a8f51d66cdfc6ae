#pragma once

/** @file
    cumin_core: the basic types and services that all other modules use.

    Typed identifiers, injectable time and randomness, the Verdict of a call,
    typed errors, readers for YAML and JSON, logging, metrics and tracing.

    Depends on: Boost (Outcome, Log, Histogram, Intrusive pointers), yaml-cpp,
    OpenTracing, OpenSSL (digests).
*/

#include "cumin_core/compression.h"
#include "cumin_core/digest.h"
#include "cumin_core/endpoint.h"
#include "cumin_core/error.h"
#include "cumin_core/identifier.h"
#include "cumin_core/json_object.h"
#include "cumin_core/json_text.h"
#include "cumin_core/logging.h"
#include "cumin_core/metrics.h"
#include "cumin_core/random.h"
#include "cumin_core/ref_counted.h"
#include "cumin_core/stable_hash.h"
#include "cumin_core/target_load.h"
#include "cumin_core/time.h"
#include "cumin_core/tracing.h"
#include "cumin_core/verdict.h"
#include "cumin_core/withdrawal.h"
#include "cumin_core/yaml_object.h"
