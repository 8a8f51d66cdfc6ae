#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "cumin_config/config_bundle.h"
#include "cumin_config/config_store_reader.h"
#include "cumin_core/error.h"
#include "cuminctl/daemon_client.h"

namespace cumin {

/** Interface for reading configuration versions and their history. */
class ConfigSource {
 public:
  virtual ~ConfigSource() = default;

  /** @param limit  maximum number of records
      @returns the most recent records, newest first */
  virtual Result<std::vector<ConfigVersionRecord>> ReadHistory(
      std::uint64_t limit) = 0;

  /** @param version  0 for the newest
      @returns the version, or ErrorCode::kNotFound */
  virtual Result<ConfigBundle> ReadBundle(std::uint64_t version) = 0;
};

/** Reads directly from the store, which keeps every version. */
class StoreSource final : public ConfigSource {
 public:
  /** @param store  outlives this object */
  explicit StoreSource(Store& store) : reader_(store) {}

  Result<std::vector<ConfigVersionRecord>> ReadHistory(
      std::uint64_t limit) override;
  Result<ConfigBundle> ReadBundle(std::uint64_t version) override;

 private:
  ConfigStoreReader reader_;
};

/** Reads from daemons, which hold only the recent part of the history. */
class DaemonSource final : public ConfigSource {
 public:
  /** @param client  outlives this object */
  explicit DaemonSource(DaemonClient& client) : client_(client) {}

  Result<std::vector<ConfigVersionRecord>> ReadHistory(
      std::uint64_t limit) override;
  Result<ConfigBundle> ReadBundle(std::uint64_t version) override;

 private:
  DaemonClient& client_;
};

/** Reads from the first source that succeeds. A version missing from one source
    may be found in the next. */
class FallbackSource final : public ConfigSource {
 public:
  /** @param sources  in order of preference; they outlive this object */
  explicit FallbackSource(std::vector<ConfigSource*> sources);

  Result<std::vector<ConfigVersionRecord>> ReadHistory(
      std::uint64_t limit) override;
  Result<ConfigBundle> ReadBundle(std::uint64_t version) override;

 private:
  std::vector<ConfigSource*> sources_;
};

}  // namespace cumin
