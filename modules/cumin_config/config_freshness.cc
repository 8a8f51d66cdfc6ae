#include "cumin_config/config_freshness.h"

#include <utility>

namespace cumin {

bool ConfigFreshness::Learn(const DatedVersion& statement,
                            std::uint64_t active_version) {
  if (!IsOfSettledEra(statement)) {
    return false;
  }
  if (latest_ && statement.as_of <= latest_->as_of) {
    return false;
  }
  if (statement.version > active_version) {
    if (!pending_ || pending_->as_of < statement.as_of) {
      pending_ = statement;
    }
    return false;
  }
  latest_ = statement;
  return true;
}

bool ConfigFreshness::IsOfSettledEra(const DatedVersion& statement) {
  if (!era_) {
    era_ = statement.era;
  }
  if (statement.era > *era_) {
    era_ = statement.era;
    settled_at_ = statement.as_of + kEraSettleTime;
    pending_.reset();
  }
  return statement.era == *era_ && statement.as_of >= settled_at_;
}

void ConfigFreshness::OnActiveVersion(std::uint64_t version) {
  if (pending_ && pending_->version <= version) {
    const DatedVersion statement = *std::exchange(pending_, std::nullopt);
    (void)Learn(statement, version);
  }
}

bool ConfigFreshness::MayServeKeys(MonoTime now) const {
  if (limit_ == Duration::zero()) {
    return true;
  }
  const std::optional<Duration> age = Age(now);
  return age && *age < limit_;
}

std::optional<Duration> ConfigFreshness::Age(MonoTime now) const {
  if (!latest_) {
    return std::nullopt;
  }
  return now - latest_->as_of;
}

}  // namespace cumin
