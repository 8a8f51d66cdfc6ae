#pragma once

#include "cumin_core/time.h"

namespace cumin {

/** Lets calls pass at a rate, with a bounded burst above it. */
class TokenBucket {
 public:
  /** Starts full.
      @param rate_per_s  tokens that arrive each second, at least 0
      @param burst       most tokens held, at least 1
      @param now         the time */
  TokenBucket(double rate_per_s, double burst, MonoTime now);

  /** Changes rate and burst; tokens held stay, up to the new burst. */
  void SetRate(double rate_per_s, double burst, MonoTime now);

  /** Takes one token.
      @returns false when there is none */
  bool TryTake(MonoTime now);

  /** @returns how long until a token is there; an hour when the rate is 0 */
  Duration TimeToToken(MonoTime now) const;

 private:
  double TokensAt(MonoTime now) const;

  double rate_per_s_;
  double burst_;
  double tokens_;
  MonoTime updated_at_;
};

}  // namespace cumin
