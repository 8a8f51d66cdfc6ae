#pragma once

#include <json/json.h>

#include <string>

#include "cumin_core/error.h"
#include "cuminctl/exit_code.h"

namespace cumin {

/** Writes results in the form that the operator asked for. */
class Output {
 public:
  /** @param json  one JSON object in place of plain sentences */
  explicit Output(bool json) : json_(json) {}

  /** Writes a result to standard output. */
  void Write(const std::string& text, const Json::Value& value) const;

  /** Writes an error: to standard error as text, or to standard output as JSON.
      @returns the exit code for it */
  ExitCode Fail(const Error& error) const;

  /** Writes a remark to standard error; JSON output has none. */
  void Note(const std::string& text) const;

 private:
  bool json_;
};

}  // namespace cumin
