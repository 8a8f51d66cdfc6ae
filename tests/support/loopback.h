#pragma once

#include <string>

#include "cumin_core/endpoint.h"

namespace cumin::test {

/** @param n  selects one of the process's addresses, up to 250
    @returns a loopback address that no other test process uses. No outgoing
    connection uses it as its source, so that a restarted program does not find
    its port taken by one */
std::string UniqueLoopbackAddress(int n);

/** @returns the address with a port that was free when it was probed; never the
    same endpoint twice in a process */
Endpoint FreeEndpoint(const std::string& address = "127.0.0.1");

}  // namespace cumin::test
