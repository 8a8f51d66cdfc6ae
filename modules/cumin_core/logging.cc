#include "cumin_core/logging.h"

#include <json/json.h>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>

#include "cumin_core/json_text.h"
#include "cumin_core/time.h"

namespace cumin {

namespace {

namespace logging = boost::log;

/** Formats records as JSON lines that carry the program's and VM's names. */
class JsonFormatter {
 public:
  JsonFormatter(std::string program, std::string vm)
      : program_(std::move(program)), vm_(std::move(vm)) {}

  void operator()(const logging::record_view& record,
                  logging::formatting_ostream& out) const {
    Json::Value line;
    line["time_ms"] =
        static_cast<Json::Int64>(ToUnixMillis(SystemClock().WallNow()));
    line["program"] = program_;
    if (!vm_.empty()) {
      line["vm"] = vm_;
    }
    const auto severity = record[logging::trivial::severity];
    line["level"] = severity ? logging::trivial::to_string(*severity) : "info";
    const auto message = record[logging::expressions::smessage];
    line["message"] = message ? *message : "";
    out << ToJsonText(line);
  }

 private:
  std::string program_;
  std::string vm_;
};

}  // namespace

Result<void> StartLogging(const std::string& program, const std::string& vm,
                          const std::string& level) {
  logging::trivial::severity_level threshold = logging::trivial::info;
  if (!logging::trivial::from_string(level.data(), level.size(), threshold)) {
    return Error{ErrorCode::kInvalid, "", 0, "log_level",
                 "\"" + level + "\" must be debug, info, warning or error"};
  }
  auto sink = logging::add_console_log(std::cerr);
  sink->set_formatter(JsonFormatter(program, vm));
  sink->locked_backend()->auto_flush(true);
  logging::core::get()->set_filter(logging::trivial::severity >= threshold);
  return Ok();
}

}  // namespace cumin
