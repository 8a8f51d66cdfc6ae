#pragma once

#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/trivial.hpp>
#include <string>

#include "cumin_core/error.h"

namespace cumin {

/** Sets up Boost.Log to write one JSON object per line to standard error.

    Log lines report state changes; events of single calls are counted in
    metrics instead.

    @param program  the program's name, written into each line
    @param vm       the VM's name, written into each line; may be empty
    @param level    "debug", "info", "warning" or "error"
    @returns success, or kInvalid when the level is unknown */
Result<void> StartLogging(const std::string& program, const std::string& vm,
                          const std::string& level);

}  // namespace cumin

/** Writes one line: CUMIN_LOG(info) << "configuration version 7 in force"; */
#define CUMIN_LOG(level) BOOST_LOG_TRIVIAL(level)
