#pragma once

#include <string>

#include "cumin_core/endpoint.h"

namespace cumin::test {

/** @param n  up to 250
    @returns a loopback address that no other process of the tests uses. Nothing
    connects from it, so that a program can be ended and started again on its
    port without finding it taken by somebody's outgoing connection */
std::string UniqueLoopbackAddress(int n);

/** @returns an address with a port that was free a moment ago; never the same
    one twice */
Endpoint FreeEndpoint(const std::string& address = "127.0.0.1");

}  // namespace cumin::test
