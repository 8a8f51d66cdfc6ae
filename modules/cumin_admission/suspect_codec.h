#pragma once

#include <json/value.h>

#include <string>
#include <vector>

#include "cumin_admission/suspect_table.h"
#include "cumin_core/error.h"

namespace cumin {

/** Encodes suspect records for other daemons. */
Json::Value EncodeSuspects(const std::vector<SuspectRecord>& records);

/** Decodes a value made by EncodeSuspects.
    @returns the records, or kInvalid with the field */
Result<std::vector<SuspectRecord>> DecodeSuspects(const Json::Value& value);

/** As DecodeSuspects, for records as a JSON text.
    @param source  the peer or field to name in errors */
Result<std::vector<SuspectRecord>> ParseSuspects(const std::string& text,
                                                 const std::string& source);

}  // namespace cumin
