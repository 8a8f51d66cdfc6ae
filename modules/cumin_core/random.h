#pragma once

#include <cstdint>
#include <random>

namespace cumin {

/** Source of randomness, passed explicitly to all code that needs it. */
class Random {
 public:
  virtual ~Random() = default;

  /** @returns 64 uniformly distributed bits */
  virtual std::uint64_t Next() = 0;

  /** @param bound  at least 1
      @returns a uniformly distributed number in [0, bound) */
  std::uint64_t Below(std::uint64_t bound);

  /** @returns a uniformly distributed number in [0, 1) */
  double Unit();
};

/** A Mersenne Twister; the same seed gives the same sequence. */
class SeededRandom final : public Random {
 public:
  explicit SeededRandom(std::uint64_t seed) : engine_(seed) {}

  std::uint64_t Next() override { return engine_(); }

 private:
  std::mt19937_64 engine_;
};

}  // namespace cumin
