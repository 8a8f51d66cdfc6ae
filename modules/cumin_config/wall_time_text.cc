#include "cumin_config/wall_time_text.h"

#include <boost/date_time/gregorian/gregorian.hpp>
#include <boost/date_time/posix_time/posix_time.hpp>
#include <regex>

namespace cumin {

namespace {

namespace greg = boost::gregorian;
namespace posix = boost::posix_time;

constexpr auto kDay = std::chrono::hours(24);
constexpr int kMaxOffsetHours = 14;

const posix::ptime& UnixEpoch() {
  static const posix::ptime epoch(greg::date(1970, 1, 1));
  return epoch;
}

posix::ptime ToPosix(WallTime time) {
  return UnixEpoch() + posix::milliseconds(ToUnixMillis(time));
}

WallTime FromPosix(const posix::ptime& time) {
  return FromUnixMillis((time - UnixEpoch()).total_milliseconds());
}

std::string ClockText(const posix::ptime& time) {
  const auto seconds = time.time_of_day().total_seconds();
  return posix::to_simple_string(posix::seconds(seconds));
}

/** Numeric access to the groups of a matched time. */
struct TimeFields {
  explicit TimeFields(const std::smatch& match) : match_(match) {}

  bool Has(int group) const { return match_[group].matched; }
  int Number(int group) const {
    return Has(group) ? std::stoi(match_[group].str()) : 0;
  }

 private:
  const std::smatch& match_;
};

enum Group {
  kDate = 1,
  kYear,
  kMonth,
  kDayOfMonth,
  kHour,
  kMinute,
  kSecond,
  kOffset,
  kSign,
  kOffsetHour,
  kOffsetMinute
};

Result<std::chrono::minutes> ParseOffset(const TimeFields& fields,
                                         const std::smatch& match) {
  if (!fields.Has(kSign)) {
    return std::chrono::minutes(0);
  }
  if (fields.Number(kOffsetHour) > kMaxOffsetHours ||
      fields.Number(kOffsetMinute) > 59) {
    return Error{ErrorCode::kInvalid, "", 0, "time",
                 "an offset is at most 14 hours"};
  }
  const std::chrono::minutes offset(60 * fields.Number(kOffsetHour) +
                                    fields.Number(kOffsetMinute));
  return match[kSign].str() == "-" ? -offset : offset;
}

}  // namespace

std::string ToUtcText(WallTime time) {
  const posix::ptime it = ToPosix(time);
  return greg::to_iso_extended_string(it.date()) + " " + ClockText(it) + " UTC";
}

std::string ToUtcText(WallTime time, WallTime same_day_as) {
  const posix::ptime it = ToPosix(time);
  return it.date() == ToPosix(same_day_as).date() ? ClockText(it)
                                                  : ToUtcText(time);
}

Result<WallTimeSpan> ParseWallTime(const std::string& text, WallTime now) {
  static const std::regex pattern(
      "(([0-9]{4})-([0-9]{2})-([0-9]{2})[T ])?([0-9]{2}):([0-9]{2})"
      "(?::([0-9]{2}))?(Z| ?UTC|([+-])([0-9]{2}):([0-9]{2}))?");
  std::smatch match;
  if (!std::regex_match(text, match, pattern)) {
    return Error{ErrorCode::kInvalid, "", 0, "time",
                 "\"" + text +
                     "\" is not a time such as 02:10, 02:10+08:00 or "
                     "2026-12-04T02:10:07Z"};
  }
  const TimeFields fields(match);
  if (fields.Number(kHour) > 23 || fields.Number(kMinute) > 59 ||
      fields.Number(kSecond) > 59) {
    return Error{ErrorCode::kInvalid, "", 0, "time",
                 "\"" + text + "\" is beyond 23:59:59"};
  }
  const Result<std::chrono::minutes> offset = ParseOffset(fields, match);
  if (!offset) {
    return offset.error();
  }
  const WallTime local_now = now + offset.value();
  greg::date day = ToPosix(local_now).date();
  if (fields.Has(kDate)) {
    try {
      day = greg::date(static_cast<std::uint16_t>(fields.Number(kYear)),
                       static_cast<std::uint16_t>(fields.Number(kMonth)),
                       static_cast<std::uint16_t>(fields.Number(kDayOfMonth)));
    } catch (const std::out_of_range& e) {
      return Error{ErrorCode::kInvalid, "", 0, "time",
                   "\"" + text + "\" has no such date"};
    }
  }
  const posix::ptime local(day, posix::hours(fields.Number(kHour)) +
                                    posix::minutes(fields.Number(kMinute)) +
                                    posix::seconds(fields.Number(kSecond)));
  WallTime begin = FromPosix(local) - offset.value();
  if (!fields.Has(kDate) && begin > now) {
    begin -= kDay;
  }
  const auto precision =
      fields.Has(kSecond) ? std::chrono::seconds(1) : std::chrono::seconds(60);
  return WallTimeSpan{begin, begin + precision};
}

}  // namespace cumin
