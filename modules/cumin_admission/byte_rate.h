#pragma once

#include <cstddef>

#include "cumin_core/time.h"

namespace cumin {

/** Rate of bytes over about the last second. Not thread-safe. */
class ByteRate {
 public:
  void OnBytes(std::size_t n, MonoTime now);

  /** @returns bytes per second */
  double PerSecond(MonoTime now) const;

 private:
  double bytes_ = 0;
  MonoTime updated_at_;
};

}  // namespace cumin
