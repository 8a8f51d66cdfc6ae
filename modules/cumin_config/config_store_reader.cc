#include "cumin_config/config_store_reader.h"

#include <utility>

#include "cumin_config/config_keys.h"

namespace cumin {

Result<std::optional<HeadRecord>> ConfigStoreReader::ReadHead() {
  const Result<StoreEntry> entry = store_.Get(kHeadKey);
  if (!entry) {
    if (entry.error().code == ErrorCode::kNotFound) {
      return std::optional<HeadRecord>();
    }
    return entry.error();
  }
  Result<HeadRecord> head = ParseHeadRecord(entry.value().value, kHeadKey);
  if (!head) {
    return head.error();
  }
  return std::optional<HeadRecord>(std::move(head.value()));
}

Result<HeadRecord> ConfigStoreReader::ReadVersion(std::uint64_t version) {
  // The newest version is stored under the head key only and is copied to its
  // own key before it is replaced, so the copy is looked up first and the head
  // second.
  const Result<StoreEntry> entry = store_.Get(VersionKey(version));
  if (entry) {
    return ParseHeadRecord(entry.value().value, entry.value().key);
  }
  if (entry.error().code != ErrorCode::kNotFound) {
    return entry.error();
  }
  const Result<std::optional<HeadRecord>> head = ReadHead();
  if (!head) {
    return head.error();
  }
  if (!head.value() || head.value()->change.version != version) {
    return Error{ErrorCode::kNotFound, VersionKey(version), 0, "",
                 "there is no version " + std::to_string(version)};
  }
  return *head.value();
}

Result<ConfigBundle> ConfigStoreReader::ReadBundle(const HeadRecord& head,
                                                   const ConfigBundle* known) {
  ConfigBundle bundle;
  bundle.head = head;
  for (const ManifestEntry& it : head.manifest) {
    Result<std::string> text = ReadPart(it, known);
    if (!text) {
      return text.error();
    }
    bundle.parts.push_back({it.name, std::move(text.value())});
  }
  const Result<void> checked = CheckParts(bundle.head, bundle.parts);
  if (!checked) {
    return checked.error();
  }
  return bundle;
}

Result<std::vector<ConfigVersionRecord>> ConfigStoreReader::ReadNewest(
    std::size_t limit) {
  const Result<std::optional<HeadRecord>> head = ReadHead();
  if (!head) {
    return head.error();
  }
  std::vector<ConfigVersionRecord> history;
  if (!head.value() || limit == 0) {
    return history;
  }
  history.push_back(head.value()->change);
  std::uint64_t version = head.value()->change.version;
  while (history.size() < limit && version > 1) {
    --version;
    const Result<HeadRecord> record = ReadVersion(version);
    if (!record) {
      return record.error();
    }
    history.push_back(record.value().change);
  }
  return history;
}

Result<std::string> ConfigStoreReader::ReadPart(const ManifestEntry& entry,
                                                const ConfigBundle* known) {
  if (known != nullptr) {
    const ManifestEntry* held = FindEntry(known->head.manifest, entry.name);
    if (held != nullptr && held->digest == entry.digest) {
      return known->FindPart(entry.name)->text;
    }
  }
  Result<StoreEntry> read = store_.Get(PartKey(entry.digest));
  if (!read) {
    return read.error();
  }
  return std::move(read.value().value);
}

}  // namespace cumin
