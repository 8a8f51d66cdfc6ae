#pragma once

#include <string>
#include <vector>

#include "cumin_config/route_table.h"

namespace cumin {

/** Result of CheckKey. */
enum class KeyVerdict {
  /** The route needs no key. */
  kNotNeeded,
  kAccepted,
  /** There is no key, more than one, or one that no customer holds. */
  kRejected,
  /** This daemon cannot tell whether the key was withdrawn. */
  kUndated,
};

/** @returns the name in lower case, e.g. "rejected" */
const char* ToString(KeyVerdict verdict);

/** Whether a request may be served for the key that it carries. */
struct KeyDecision {
  KeyVerdict verdict = KeyVerdict::kNotNeeded;
  /** Holder of the key; null unless it is known. */
  const Customer* customer = nullptr;
};

/** Decides whether a request may be served for its key.
    @param routes       the configuration in force
    @param route        the request's route
    @param credentials  values of the header field that carries the key, each a
                        scheme and the key
    @param scheme       the scheme; upper and lower case are the same
    @param is_current   whether the configuration is recent enough to rely on
                        its keys
    @returns the decision; its customer is valid as long as `routes` */
KeyDecision CheckKey(const RouteTable& routes, const Route& route,
                     const std::vector<std::string>& credentials,
                     const std::string& scheme, bool is_current);

/** @param customer  the holder of the request's key; null for none
    @returns the priority of a request: the customer's goes before the route's;
    0 is the most urgent */
int CombinePriorities(const Customer* customer, const Route& route);

}  // namespace cumin
