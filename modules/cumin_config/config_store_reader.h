#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "cumin_config/config_bundle.h"
#include "cumin_core/error.h"
#include "cumin_store/store.h"

namespace cumin {

/** Reads configuration versions from the store. */
class ConfigStoreReader {
 public:
  /** @param store  outlives this object */
  explicit ConfigStoreReader(Store& store) : store_(store) {}

  /** @returns the record of the newest version, or nullopt if no configuration
      has been accepted yet */
  Result<std::optional<HeadRecord>> ReadHead();

  /** @param version  from 1 to the newest
      @returns the record of that version, or ErrorCode::kNotFound */
  Result<HeadRecord> ReadVersion(std::uint64_t version);

  /** Reads the parts listed in a record's manifest.
      @param head   the version to read
      @param known  a bundle from which unchanged parts are reused, or null
      @returns the bundle, with all digests verified */
  Result<ConfigBundle> ReadBundle(const HeadRecord& head,
                                  const ConfigBundle* known);

  /** @param limit  maximum number of records to read
      @returns the most recent records, newest first */
  Result<std::vector<ConfigVersionRecord>> ReadNewest(std::size_t limit);

 private:
  Result<std::string> ReadPart(const ManifestEntry& entry,
                               const ConfigBundle* known);

  Store& store_;
};

}  // namespace cumin
