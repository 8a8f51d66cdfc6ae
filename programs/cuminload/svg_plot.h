#pragma once

#include <string>

#include "cuminload/load_report.h"

namespace cumin::load {

/** @returns an SVG document with two panels over the seconds of the run: median
    and 99th percentile latency as lines above, and calls by AttemptEnd as
    stacked bars below */
std::string PlotReport(const LoadReport& report);

}  // namespace cumin::load
