#pragma once

#include <json/json.h>

#include <optional>
#include <string>
#include <vector>

#include "cumin_config/route_table.h"

namespace cumin {

/** The difference between two versions of the route table. */
struct RouteDelta {
  /** The version that the delta applies to; 0 if it contains the complete
      document. */
  std::uint64_t from = 0;
  std::uint64_t to = 0;
  /** Routes that were added or modified. */
  std::vector<Route> changed;
  /** Names of the routes that were removed. */
  std::vector<std::string> removed;
  std::vector<ServiceId> services;
  /** Customers that were added or modified. */
  std::vector<Customer> changed_customers;
  /** Names of the customers that were removed. */
  std::vector<std::string> removed_customers;
  CallerLimits limits;
};

/** @returns the delta from one table to the other; the complete document if
    `from` is null */
RouteDelta MakeRouteDelta(const RouteTable* from, const RouteTable& to);

/** Applies a delta.
    @param base  the table in force; may be null
    @returns the new table; ErrorCode::kConflict if the delta applies to a
    different version, ErrorCode::kInvalid if the result is not valid */
Result<RefPtr<const RouteTable>> ApplyRouteDelta(const RouteTable* base,
                                                 const RouteDelta& delta);

/** @returns the delta as JSON text */
std::string EncodeRouteDelta(const RouteDelta& delta);

/** Parses the JSON text of a delta.
    @param source  name of the sender for error messages
    @returns the delta, or ErrorCode::kInvalid with the field */
Result<RouteDelta> DecodeRouteDelta(const std::string& text,
                                    const std::string& source);

}  // namespace cumin
