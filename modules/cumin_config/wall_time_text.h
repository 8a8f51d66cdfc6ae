#pragma once

#include <string>

#include "cumin_core/error.h"
#include "cumin_core/time.h"

namespace cumin {

/** @returns e.g. "2026-12-04 02:10:07 UTC" */
std::string ToUtcText(WallTime time);

/** @returns e.g. "02:10:07" if both times are on the same UTC day, otherwise
    the long form of ToUtcText */
std::string ToUtcText(WallTime time, WallTime same_day_as);

/** The half-open interval [begin, end) denoted by a time text of limited
    precision. */
struct WallTimeSpan {
  WallTime begin;
  WallTime end;

  friend bool operator==(const WallTimeSpan& a, const WallTimeSpan& b) {
    return a.begin == b.begin && a.end == b.end;
  }
};

/** Parses a time as entered by operators.
    @param text  "HH:MM" or "HH:MM:SS", optionally preceded by "YYYY-MM-DD" and
                 'T' or a space, and optionally followed by "Z", "UTC" or an
                 offset such as "+08:00"; UTC by default
    @param now   a time without a date denotes the latest one not after `now`
    @returns the minute or second, or ErrorCode::kInvalid */
Result<WallTimeSpan> ParseWallTime(const std::string& text, WallTime now);

}  // namespace cumin
