#pragma once

#include <cstddef>

#include "cumin_core/time.h"

namespace cumin {

/** How long answers wait for this VM's link, worked out from what was handed to
    it and how fast it is.

    Pattern answered: large answers of a target behind a slow link. The target
   has free slots, yet all that the VM sends, small answers and control messages
    too, waits behind them.

    Not thread-safe; takes the time as an argument.
*/
class LinkBacklog {
 public:
  /** @param bytes_per_s  the link's rate; 0 when unknown, and then nothing
   * waits
   */
  explicit LinkBacklog(double bytes_per_s) : bytes_per_s_(bytes_per_s) {}

  /** Bytes were handed to the link. */
  void OnSent(std::size_t bytes, MonoTime now);

  /** @returns how long the next byte waits */
  Duration Wait(MonoTime now) const;

 private:
  const double bytes_per_s_;
  MonoTime busy_until_;
};

}  // namespace cumin
