#pragma once

#include <string>

#include "cumin_core/time.h"
#include "cumin_http/http_message.h"

namespace cumin::test {

/** What happened to a run. */
enum class RunEvent {
  kStart,
  kFinish,
  /** Stopped before its end: the deadline passed or the caller went away. */
  kCut,
};

/** The file that judges what ran: one JSON line for each event, written to the
    file before the run goes on, so that it outlasts a crash of the process. A
    run that a crash ended has a start and nothing else. Thread-safe. */
class RunLog {
 public:
  /** @param path  the file to append to; empty for none */
  explicit RunLog(const std::string& path);
  ~RunLog();

  RunLog(const RunLog&) = delete;
  RunLog& operator=(const RunLog&) = delete;

  /** Writes one line.
      @param run      counts the runs of this process, from 1
      @param target   the target's own address
      @param now      the event's time */
  void Write(RunEvent event, std::uint64_t run, const std::string& target,
             const HttpRequest& request, WallTime now);

 private:
  int fd_ = -1;
};

}  // namespace cumin::test
