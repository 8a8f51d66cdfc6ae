#pragma once

#include <json/json.h>

#include <string>
#include <vector>

#include "cumin_config/config_version_record.h"
#include "cumin_config/wall_time_text.h"

namespace cumin {

/** @returns e.g. "version 12 (change c-…, by anna, accepted 2026-12-04 02:10:07
    UTC, \"raise burst\") changed customer/fabricators." */
std::string Describe(const ConfigVersionRecord& record);

/** @returns one line per record, or a sentence that there are none */
std::string DescribeHistory(const std::vector<ConfigVersionRecord>& history);

/** @returns the records as a JSON list */
Json::Value ToJson(const std::vector<ConfigVersionRecord>& history);

/** Reads a list of records; errors are recorded in `fields`. */
std::vector<ConfigVersionRecord> ReadHistory(JsonObject& fields,
                                             const std::string& field);

/** Finds the version that was the newest at a given time.
    @param history  records in any order
    @param at       the minute or second to look up
    @returns the newest record in `history` accepted before the end of the span,
    or null */
const ConfigVersionRecord* FindVersionAt(
    const std::vector<ConfigVersionRecord>& history, const WallTimeSpan& at);

}  // namespace cumin
