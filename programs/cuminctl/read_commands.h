#pragma once

#include <cstdint>

#include "cuminctl/config_source.h"
#include "cuminctl/exit_code.h"
#include "cuminctl/output.h"

namespace cumin {

/** `cuminctl history`: lists accepted changes, newest first. */
ExitCode RunHistory(ConfigSource& source, std::uint64_t limit,
                    const Output& output);

/** `cuminctl diff N M`: lists the differences between two versions. */
ExitCode RunDiff(ConfigSource& source, std::uint64_t from, std::uint64_t to,
                 const Output& output);

}  // namespace cumin
