#include "cuminctl/config_source.h"

#include <optional>
#include <utility>

namespace cumin {

namespace {

/** Tries a read on each source in turn until one succeeds.
    @returns the first success, or the last source's error */
template <typename Value, typename Read>
Result<Value> ReadFirst(const std::vector<ConfigSource*>& sources, Read read) {
  Error last{ErrorCode::kInvalid, "", 0, "", "--store or --daemon is required"};
  for (ConfigSource* it : sources) {
    Result<Value> value = read(*it);
    if (value) {
      return value;
    }
    last = value.error();
  }
  return last;
}

}  // namespace

Result<std::vector<ConfigVersionRecord>> StoreSource::ReadHistory(
    std::uint64_t limit) {
  return reader_.ReadNewest(limit);
}

Result<ConfigBundle> StoreSource::ReadBundle(std::uint64_t version) {
  if (version != 0) {
    const Result<HeadRecord> record = reader_.ReadVersion(version);
    if (!record) {
      return record.error();
    }
    return reader_.ReadBundle(record.value(), nullptr);
  }
  const Result<std::optional<HeadRecord>> head = reader_.ReadHead();
  if (!head) {
    return head.error();
  }
  if (!head.value()) {
    return Error{ErrorCode::kNotFound, "", 0, "",
                 "no configuration has been accepted yet"};
  }
  return reader_.ReadBundle(*head.value(), nullptr);
}

Result<std::vector<ConfigVersionRecord>> DaemonSource::ReadHistory(
    std::uint64_t limit) {
  return client_.ReadHistory(limit);
}

Result<ConfigBundle> DaemonSource::ReadBundle(std::uint64_t version) {
  return client_.ReadBundle(version);
}

FallbackSource::FallbackSource(std::vector<ConfigSource*> sources)
    : sources_(std::move(sources)) {}

Result<std::vector<ConfigVersionRecord>> FallbackSource::ReadHistory(
    std::uint64_t limit) {
  return ReadFirst<std::vector<ConfigVersionRecord>>(
      sources_, [&](ConfigSource& it) { return it.ReadHistory(limit); });
}

Result<ConfigBundle> FallbackSource::ReadBundle(std::uint64_t version) {
  return ReadFirst<ConfigBundle>(
      sources_, [&](ConfigSource& it) { return it.ReadBundle(version); });
}

}  // namespace cumin
