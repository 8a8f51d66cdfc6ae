#pragma once

/** @file
    cumin_proxy: the daemon's inside. The front accepts HTTP requests, the call
    paths carry calls to targets, and controllers keep the shared tables of the
    blackboard current.

    Depends on: every other module.
*/

#include "cumin_proxy/blackboard.h"
#include "cumin_proxy/call.h"
#include "cumin_proxy/daemon.h"
#include "cumin_proxy/daemon_settings.h"
