#pragma once

#include <string>

#include "cumin_core/error.h"
#include "cumin_core/time.h"

namespace cumin {

/** @returns e.g. "2026-12-04 02:10:07 UTC" */
std::string ToUtcText(WallTime time);

/** @returns "02:10:07" when both times are on one UTC day, else the long form
    of ToUtcText */
std::string ToUtcText(WallTime time, WallTime same_day_as);

/** A stretch of time that a text with limited precision names: from `begin` to
    just before `end`. */
struct WallTimeSpan {
  WallTime begin;
  WallTime end;

  friend bool operator==(const WallTimeSpan& a, const WallTimeSpan& b) {
    return a.begin == b.begin && a.end == b.end;
  }
};

/** Parses a time as operators write it in notes.
    @param text  "HH:MM", "HH:MM:SS", or "YYYY-MM-DD" with 'T' or a space and
                 one of these; then nothing or "Z" for UTC, or an offset such as
                 "+08:00"
    @param now   a time without a date is the latest one not after this
    @returns the minute or second named, or ErrorCode::kInvalid */
Result<WallTimeSpan> ParseWallTime(const std::string& text, WallTime now);

}  // namespace cumin
