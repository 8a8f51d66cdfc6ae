#include "standins/target_standin/run_log.h"

#include <fcntl.h>
#include <unistd.h>

#include "cumin_core/json_text.h"

namespace cumin::test {

namespace {

constexpr int kFileMode = 0644;

const char* ToString(RunEvent event) {
  switch (event) {
    case RunEvent::kStart:
      return "start";
    case RunEvent::kFinish:
      return "finish";
    case RunEvent::kCut:
      return "cut";
  }
  return "cut";
}

}  // namespace

RunLog::RunLog(const std::string& path) {
  if (!path.empty()) {
    fd_ = open(path.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC,
               kFileMode);
  }
}

RunLog::~RunLog() {
  if (fd_ >= 0) {
    close(fd_);
  }
}

void RunLog::Write(RunEvent event, std::uint64_t run, const std::string& target,
                   const HttpRequest& request, WallTime now) {
  if (fd_ < 0) {
    return;
  }
  Json::Value line;
  line["time_ms"] = static_cast<Json::Int64>(ToUnixMillis(now));
  line["event"] = ToString(event);
  line["run"] = static_cast<Json::UInt64>(run);
  line["target"] = target;
  line["method"] = request.method;
  line["path"] = request.path;
  line["key"] = request.headers.Get("Idempotency-Key");
  line["customer"] = request.headers.Get("Cumin-Customer");
  line["request_id"] = request.headers.Get("Cumin-Request-Id");
  line["trace"] = request.headers.Get("traceparent");
  const std::string text = ToJsonText(line) + "\n";
  // One short write to a file opened with O_APPEND does not interleave with the
  // lines of concurrent runs.
  if (write(fd_, text.data(), text.size()) < 0) {
    _exit(1);
  }
}

}  // namespace cumin::test
