#pragma once

#include <string>

#include "cuminload/load_report.h"

namespace cumin::load {

/** @returns an SVG document with latency and ends by second of the run: the
    median and the 99th percentile as lines above, and the ends of the calls as
    stacked bars below */
std::string PlotReport(const LoadReport& report);

}  // namespace cumin::load
