#include "cumin_admission/suspect_table.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

#include "cumin_core/stable_hash.h"

namespace cumin {

namespace {

constexpr std::size_t kCrashesToQuarantine = 2;
constexpr Duration kSuspectRetryAfter = std::chrono::seconds(1);

}  // namespace

std::string ToString(const RequestFingerprint& fingerprint) {
  std::ostringstream text;
  text << std::hex << std::setw(16) << std::setfill('0') << fingerprint.value;
  return text.str();
}

RequestFingerprint MakeFingerprint(const ServiceId& service,
                                   const CustomerId& customer,
                                   const OperationId& operation,
                                   const IdempotencyKey& key,
                                   const std::string& content) {
  std::string text;
  for (const std::string* it :
       {&service.str(), &customer.str(), &operation.str(), &key.str()}) {
    text += *it;
    text += '\0';
  }
  if (key.empty()) {
    text += content;
  }
  return RequestFingerprint{StableHash(text)};
}

bool SuspectTable::Record::IsQuarantined() const {
  return crashes.size() >= kCrashesToQuarantine;
}

SuspectDecision SuspectTable::Begin(const ServiceId& service,
                                    const RequestFingerprint& fingerprint,
                                    MonoTime now) {
  const auto it = records_.find(fingerprint.value);
  if (it == records_.end() || it->second.until <= now) {
    return SuspectDecision::kNotSuspect;
  }
  if (it->second.IsQuarantined()) {
    return SuspectDecision::kQuarantined;
  }
  const bool runs_alone = running_.emplace(service, fingerprint).second;
  return runs_alone ? SuspectDecision::kRunAlone : SuspectDecision::kWait;
}

void SuspectTable::Finish(const ServiceId& service,
                          const RequestFingerprint& fingerprint,
                          bool was_answered) {
  const auto it = running_.find(service);
  if (it != running_.end() && it->second == fingerprint) {
    running_.erase(it);
  }
  const auto record = records_.find(fingerprint.value);
  if (was_answered && record != records_.end() &&
      !record->second.IsQuarantined()) {
    records_.erase(record);
  }
}

void SuspectTable::OnCrash(const TargetCrash& crash,
                           const std::vector<RequestFingerprint>& in_flight,
                           MonoTime now) {
  for (const RequestFingerprint& it : in_flight) {
    Add(it, crash, now);
  }
}

void SuspectTable::Import(const SuspectRecord& record, MonoTime now) {
  if (record.remaining <= Duration::zero()) {
    return;
  }
  for (const TargetCrash& it : record.crashes) {
    Add(record.fingerprint, it, now);
  }
  const auto it = records_.find(record.fingerprint.value);
  if (it == records_.end()) {
    return;
  }
  // Keeps peers that exchange a record from extending its lifetime.
  const bool had_more_crashes =
      it->second.crashes.size() > record.crashes.size();
  if (!had_more_crashes) {
    it->second.until = std::min(it->second.until, now + record.remaining);
  }
}

std::vector<SuspectRecord> SuspectTable::Export(MonoTime now) const {
  std::vector<SuspectRecord> records;
  for (const auto& [value, record] : records_) {
    if (record.until > now) {
      records.push_back(SuspectRecord{RequestFingerprint{value}, record.crashes,
                                      record.until - now});
    }
  }
  return records;
}

void SuspectTable::Expire(MonoTime now) {
  for (auto it = records_.begin(); it != records_.end();) {
    it = it->second.until <= now ? records_.erase(it) : std::next(it);
  }
}

Refusal SuspectTable::RefusalFor(SuspectDecision decision) {
  const bool is_quarantined = decision == SuspectDecision::kQuarantined;
  return Refusal{Verdict::kNotRun, RefusalReason::kQuarantined,
                 is_quarantined
                     ? "two targets crashed while they executed this request"
                     : "a target crashed while it executed this request; "
                       "another such request is running",
                 is_quarantined ? Duration::zero() : kSuspectRetryAfter};
}

void SuspectTable::Add(const RequestFingerprint& fingerprint,
                       const TargetCrash& crash, MonoTime now) {
  if (records_.count(fingerprint.value) == 0 &&
      records_.size() >= limits_.max_records) {
    Expire(now);
    MakeRoom();
  }
  Record& record = records_[fingerprint.value];
  const bool is_known = std::find(record.crashes.begin(), record.crashes.end(),
                                  crash) != record.crashes.end();
  if (is_known || record.IsQuarantined()) {
    return;
  }
  record.crashes.push_back(crash);
  record.until = now + (record.IsQuarantined() ? limits_.quarantine_for
                                               : limits_.suspect_for);
}

void SuspectTable::MakeRoom() {
  if (records_.size() < limits_.max_records) {
    return;
  }
  const auto first = std::min_element(
      records_.begin(), records_.end(), [](const auto& a, const auto& b) {
        const bool a_is_quarantined = a.second.IsQuarantined();
        const bool b_is_quarantined = b.second.IsQuarantined();
        return a_is_quarantined != b_is_quarantined
                   ? b_is_quarantined
                   : a.second.until < b.second.until;
      });
  records_.erase(first);
}

}  // namespace cumin
