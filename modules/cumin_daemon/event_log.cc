#include "cumin_daemon/event_log.h"

#include <fcntl.h>
#include <json/value.h>
#include <json/writer.h>
#include <unistd.h>

#include <functional>

namespace cumin {

namespace {

constexpr std::size_t kMaxBufferedBytes = std::size_t{64} * 1024;
/** One successful call in this many is logged. */
constexpr std::size_t kSamplingInterval = 64;

}  // namespace

EventLine::EventLine(const char* event) {
  text_ = "\"event\":\"";
  text_ += event;
  text_ += '"';
}

EventLine& EventLine::With(const char* field, const std::string& value) {
  return With(field, value.c_str());
}

EventLine& EventLine::With(const char* field, const char* value) {
  text_ += ",\"";
  text_ += field;
  text_ += "\":";
  text_ += Json::valueToQuotedString(value);
  return *this;
}

EventLine& EventLine::With(const char* field, std::int64_t value) {
  text_ += ",\"";
  text_ += field;
  text_ += "\":";
  text_ += std::to_string(value);
  return *this;
}

EventLine& EventLine::With(const char* field, Duration value) {
  return With(field, ToMillis(value));
}

EventLog::EventLog(std::string vm, const Clock& clock, int fd)
    : vm_(std::move(vm)), clock_(clock), fd_(fd) {
  const int flags = fcntl(fd_, F_GETFL);
  if (flags >= 0) {
    (void)fcntl(fd_, F_SETFL, flags | O_NONBLOCK);
  }
}

void EventLog::Write(const EventLine& line) { Write(line, Now()); }

void EventLog::Write(const EventLine& line, WallTime at) {
  if (buffer_.size() + line.text().size() > kMaxBufferedBytes) {
    ++dropped_;
    return;
  }
  buffer_ += "{\"at\":";
  buffer_ += std::to_string(ToUnixMillis(at));
  buffer_ += ",\"vm\":\"";
  buffer_ += vm_;
  buffer_ += "\",";
  buffer_ += line.text();
  buffer_ += "}\n";
}

void EventLog::Flush() {
  if (buffer_.empty()) {
    return;
  }
  const ssize_t n = write(fd_, buffer_.data(), buffer_.size());
  if (n > 0) {
    buffer_.erase(0, static_cast<std::size_t>(n));
  }
}

bool EventLog::IsSampled(const std::string& id) {
  return std::hash<std::string>()(id) % kSamplingInterval == 0;
}

void CallLogBuffer::Add(EventLine line, MonoTime now) {
  if (lines_.empty()) {
    started_at_ = now;
  }
  line.With("id", id_).With("after_ms", now - started_at_);
  lines_.emplace_back(log_.Now(), std::move(line));
}

void CallLogBuffer::Close(bool failed) {
  if (failed || EventLog::IsSampled(id_)) {
    for (const auto& [at, line] : lines_) {
      log_.Write(line, at);
    }
  }
  lines_.clear();
}

}  // namespace cumin
