#pragma once

#include <json/json.h>

#include <string>

#include "cumin_core/error.h"

namespace cumin {

/** @returns the value as compact JSON on one line */
std::string ToJsonText(const Json::Value& value);

/** Parses a JSON text in strict mode with a limited nesting depth.
    @param source  the file, key or peer to name in errors
    @returns the value, or ErrorCode::kInvalid */
Result<Json::Value> ParseJson(const std::string& text,
                              const std::string& source);

}  // namespace cumin
