#include "cumin_core/stable_hash.h"

#include <xxhash.h>

namespace cumin {

std::uint64_t StableHash(const std::string& bytes) {
  return XXH64(bytes.data(), bytes.size(), 0);
}

}  // namespace cumin
