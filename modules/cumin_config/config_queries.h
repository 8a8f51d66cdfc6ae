#pragma once

#include <json/json.h>

#include <cstdint>
#include <vector>

#include "cumin_config/config_bundle.h"
#include "cumin_config/config_history.h"
#include "cumin_config/status_report.h"
#include "cumin_core/error.h"

namespace cumin {

/** JSON-RPC method: HistoryQuery to HistoryAnswer. */
constexpr char kHistoryMethod[] = "config.history";
/** JSON-RPC method: BundleQuery to BundleAnswer. */
constexpr char kBundleMethod[] = "config.bundle";
/** JSON-RPC method: no parameters to StatusReport. */
constexpr char kStatusMethod[] = "status.gather";

/** Asks a daemon for the history that it knows. */
struct HistoryQuery {
  /** The most records to answer with, at least 1. */
  std::uint64_t limit = 1;
};

/** The records that a daemon knows. */
struct HistoryAnswer {
  /** Newest first. */
  std::vector<ConfigVersionRecord> history;
};

/** Asks a daemon for a whole version. */
struct BundleQuery {
  /** 0 for the one in force. */
  std::uint64_t version = 0;
};

/** A whole version that a daemon holds. */
struct BundleAnswer {
  ConfigBundle bundle;
};

/** @returns the parameters or result as a JSON object */
Json::Value ToJson(const HistoryQuery& query);
Json::Value ToJson(const HistoryAnswer& answer);
Json::Value ToJson(const BundleQuery& query);
Json::Value ToJson(const BundleAnswer& answer);

/** Parses parameters or a result.
    @param source  the peer to name in errors
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
