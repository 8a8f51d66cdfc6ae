#pragma once

#include "cumin_core/time.h"

namespace cumin {

/** Limits calls to a rate with a bounded burst. */
class TokenBucket {
 public:
  /** Creates a full bucket.
      @param rate_per_s  tokens added per second, at least 0
      @param burst       capacity in tokens, at least 1 */
  TokenBucket(double rate_per_s, double burst, MonoTime now);

  /** Changes rate and capacity; keeps the tokens up to the new capacity. */
  void SetRate(double rate_per_s, double burst, MonoTime now);

  /** Takes one token.
      @returns false if none is available */
  bool TryTake(MonoTime now);

  /** @returns the time until a token is available, at most one hour; one hour
      if the rate is 0 */
  Duration TimeToToken(MonoTime now) const;

 private:
  double TokensAt(MonoTime now) const;

  double rate_per_s_;
  double burst_;
  double tokens_;
  MonoTime updated_at_;
};

}  // namespace cumin
