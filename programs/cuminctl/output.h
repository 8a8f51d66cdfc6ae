#pragma once

#include <json/json.h>

#include <string>

#include "cumin_core/error.h"
#include "cuminctl/exit_code.h"

namespace cumin {

/** Writes command results as text or JSON, as selected by --output. */
class Output {
 public:
  /** @param json  write one JSON object instead of text */
  explicit Output(bool json) : json_(json) {}

  /** Writes a result to standard output.
      @param text   used for text output, with a trailing newline
      @param value  used for JSON output */
  void Write(const std::string& text, const Json::Value& value) const;

  /** Writes an error: to standard error as text, or to standard output as JSON.
      @returns the exit code for this error */
  ExitCode Fail(const Error& error) const;

  /** Writes a note to standard error; omitted in JSON output. */
  void Note(const std::string& text) const;

 private:
  bool json_;
};

}  // namespace cumin
