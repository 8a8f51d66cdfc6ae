#pragma once

#include <json/json.h>

#include <optional>
#include <string>
#include <vector>

#include "cumin_config/route_table.h"

namespace cumin {

/** What changed between two versions of the routes. */
struct RouteDelta {
  /** The version that it applies to; 0 when it holds the whole document. */
  std::uint64_t from = 0;
  std::uint64_t to = 0;
  /** Routes that are new or differ. */
  std::vector<Route> changed;
  /** Names of routes that are gone. */
  std::vector<std::string> removed;
  std::vector<ServiceId> services;
  CallerLimits limits;
};

/** @returns the change from one table to the other; the whole document when
    `from` is null */
RouteDelta MakeRouteDelta(const RouteTable* from, const RouteTable& to);

/** Applies a change.
    @param base   the table in force; may be null
    @param delta  the change
    @returns the new table; kConflict when the change starts from another
    version, kInvalid when the result is not valid as a whole */
Result<RefPtr<const RouteTable>> ApplyRouteDelta(const RouteTable* base,
                                                 const RouteDelta& delta);

/** @returns the change as JSON text */
std::string EncodeRouteDelta(const RouteDelta& delta);

/** Reads the text of a change.
    @returns the change, or kInvalid with the field */
Result<RouteDelta> DecodeRouteDelta(const std::string& text,
                                    const std::string& source);

}  // namespace cumin
