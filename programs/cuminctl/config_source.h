#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "cumin_config/config_bundle.h"
#include "cumin_config/config_store_reader.h"
#include "cumin_core/error.h"
#include "cuminctl/daemon_client.h"

namespace cumin {

/** Where versions and their history can be read. */
class ConfigSource {
 public:
  virtual ~ConfigSource() = default;

  /** @returns the newest records, newest first */
  virtual Result<std::vector<ConfigVersionRecord>> ReadHistory(
      std::uint64_t limit) = 0;

  /** @param version  0 for the newest
      @returns the version, or ErrorCode::kNotFound */
  virtual Result<ConfigBundle> ReadBundle(std::uint64_t version) = 0;
};

/** Reads from the store. */
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

/** Reads from daemons, which know the newer part of the history. */
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

/** Reads from the first source that answers; a version that one lacks may be in
    the next. */
class FallbackSource final : public ConfigSource {
 public:
  /** @param sources  in the order to try; they outlive this object */
  explicit FallbackSource(std::vector<ConfigSource*> sources);

  Result<std::vector<ConfigVersionRecord>> ReadHistory(
      std::uint64_t limit) override;
  Result<ConfigBundle> ReadBundle(std::uint64_t version) override;

 private:
  std::vector<ConfigSource*> sources_;
};

}  // namespace cumin
