#pragma once

#include <json/json.h>

#include <cstdint>
#include <vector>

#include "cumin_config/config_bundle.h"
#include "cumin_config/config_history.h"
#include "cumin_config/status_report.h"
#include "cumin_core/error.h"

namespace cumin {

/** JSON-RPC method; parameters HistoryQuery, result HistoryAnswer. */
constexpr char kHistoryMethod[] = "config.history";
/** JSON-RPC method; parameters BundleQuery, result BundleAnswer. */
constexpr char kBundleMethod[] = "config.bundle";
/** JSON-RPC method; no parameters, result StatusReport. */
constexpr char kStatusMethod[] = "status.gather";

/** Requests the configuration history known to a daemon. */
struct HistoryQuery {
  /** Maximum number of records to return, at least 1. */
  std::uint64_t limit = 1;
};

/** Result of a HistoryQuery. */
struct HistoryAnswer {
  /** Newest first. */
  std::vector<ConfigVersionRecord> history;
};

/** Requests a complete configuration version from a daemon. */
struct BundleQuery {
  /** 0 for the version in force. */
  std::uint64_t version = 0;
};

/** Result of a BundleQuery. */
struct BundleAnswer {
  ConfigBundle bundle;
};

/** @returns the parameters or result as a JSON object */
Json::Value ToJson(const HistoryQuery& query);
Json::Value ToJson(const HistoryAnswer& answer);
Json::Value ToJson(const BundleQuery& query);
Json::Value ToJson(const BundleAnswer& answer);

/** Parses parameters or a result.
    @param source  name of the peer for error messages
    @returns the value, or ErrorCode::kInvalid */
Result<HistoryQuery> ParseHistoryQuery(const Json::Value& value,
                                       const std::string& source);
Result<HistoryAnswer> ParseHistoryAnswer(const Json::Value& value,
                                         const std::string& source);
Result<BundleQuery> ParseBundleQuery(const Json::Value& value,
                                     const std::string& source);
Result<BundleAnswer> ParseBundleAnswer(const Json::Value& value,
                                       const std::string& source);
Result<StatusReport> ParseStatusReport(const Json::Value& value,
                                       const std::string& source);

}  // namespace cumin
