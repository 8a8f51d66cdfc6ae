#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "cumin_core/time.h"

namespace cumin {

/** One JSON object, built field by field. */
class EventLine {
 public:
  /** @param event  what happened, lower case with dashes */
  explicit EventLine(const char* event);

  EventLine& With(const char* field, const std::string& value);
  EventLine& With(const char* field, const char* value);
  EventLine& With(const char* field, std::int64_t value);
  /** Written in milliseconds. */
  EventLine& With(const char* field, Duration value);

  /** @returns the fields without the closing brace */
  const std::string& text() const { return text_; }

 private:
  std::string text_;
};

/** Structured log of the daemon on standard output, one JSON object a line.

    Writing never blocks: lines wait in a bounded buffer, and those that do not
    fit are dropped and counted. Changes of state are always written. Of calls,
    every failure is written, and of successes a sample that the id decides, so
    that all daemons keep the same ids.

    Boost.Log was not taken here: its set-up alone costs more memory than the
    rest of the daemon (docs/DESIGN.md has the figure).
*/
class EventLog {
 public:
  /** @param vm     written into each line
      @param clock  outlives the log
      @param fd     where lines go; made non-blocking */
  EventLog(std::string vm, const Clock& clock, int fd);
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  /** Adds one line for something that happened now. */
  void Write(const EventLine& line);

  /** Adds one line.
      @param at  when it happened */
  void Write(const EventLine& line, WallTime at);

  /** @returns the wall clock's time */
  WallTime Now() const { return clock_.WallNow(); }

  /** Writes out what fits without blocking. */
  void Flush();

  /** @returns true when the successes of this id are kept */
  static bool IsSampled(const std::string& id);

  /** @returns lines that did not fit */
  std::uint64_t dropped() const { return dropped_; }

 private:
  const std::string vm_;
  const Clock& clock_;
  const int fd_;
  std::string buffer_;
  std::uint64_t dropped_ = 0;
};

/** The lines of one call on one daemon, written together at its end or not at
    all. */
class CallLogBuffer {
 public:
  /** @param log  outlives this
      @param id   of the attempt */
  CallLogBuffer(EventLog& log, std::string id)
      : log_(log), id_(std::move(id)) {}

  /** Adds a line, marked with the id and its time. */
  void Add(EventLine line, MonoTime now);

  /** Ends the story.
      @param failed  written whatever the sample says */
  void Close(bool failed);

  const std::string& id() const { return id_; }

 private:
  EventLog& log_;
  const std::string id_;
  std::vector<std::pair<WallTime, EventLine>> lines_;
  MonoTime began_at_;
};

}  // namespace cumin
