#include "cumin_core/random.h"

namespace cumin {

namespace {

/** Adapts a Random to the generator interface of the standard distributions. */
class EngineAdapter {
 public:
  using result_type = std::uint64_t;  // NOLINT: the standard's name.

  explicit EngineAdapter(Random& random) : random_(random) {}

  static constexpr result_type min() { return 0; }           // NOLINT
  static constexpr result_type max() { return UINT64_MAX; }  // NOLINT
  result_type operator()() { return random_.Next(); }

 private:
  Random& random_;
};

}  // namespace

std::uint64_t Random::Below(std::uint64_t bound) {
  EngineAdapter engine(*this);
  return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(engine);
}

double Random::Unit() {
  EngineAdapter engine(*this);
  return std::uniform_real_distribution<double>(0.0, 1.0)(engine);
}

}  // namespace cumin
