#include "cumin_admission/suspect_table.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

#include "cumin_core/stable_hash.h"

namespace cumin {

namespace {

/** Suspects run for about as long as other requests of their service. */
constexpr Duration kSuspectRetryAfter = std::chrono::milliseconds(200);
/** An answer is evidence against crashes for this long. Short, because a
   request may begin to crash its targets, for example after a release. */
constexpr Duration kAnswerEvidenceTime = std::chrono::seconds(3);
constexpr std::size_t kAnsweredSlots = 1024;
/** Crashes kept for each request; the later ones add nothing to the proof. */
constexpr std::size_t kMaxCrashes = 8;

/** Adds a crash to those of a record.
    @returns whether it was unknown */
bool MergeCrash(SuspectRecord& record, const SuspectCrash& added) {
  std::vector<SuspectCrash>& known = record.crashes;
  const auto it = std::find_if(
      known.begin(), known.end(),
      [&](const SuspectCrash& each) { return each.crash == added.crash; });
  if (it != known.end()) {
    it->ran_alone = it->ran_alone || added.ran_alone;
    return false;
  }
  if (known.size() < kMaxCrashes) {
    known.push_back(added);
    return true;
  }
  // Neither an excused crash nor one without proof may keep out a proof.
  const auto replaced =
      std::find_if(known.begin(), known.end(), [&](const SuspectCrash& each) {
        return each.crash.sequence <= record.excused_through ||
               (added.ran_alone && !each.ran_alone);
      });
  if (replaced == known.end()) {
    return false;
  }
  *replaced = added;
  return true;
}

/** @returns the sequence of the last crash */
std::uint64_t LastSequence(const SuspectRecord& record) {
  std::uint64_t last = 0;
  for (const SuspectCrash& it : record.crashes) {
    last = std::max(last, it.crash.sequence);
  }
  return last;
}

/** @returns a hash of what daemons have to agree on */
std::uint64_t DigestOf(std::uint64_t fingerprint, bool is_quarantined) {
  return StableHash(std::to_string(fingerprint) + (is_quarantined ? "+" : "-"));
}

}  // namespace

bool SuspectRecord::IsSuspect() const {
  return std::any_of(crashes.begin(), crashes.end(), [this](const auto& it) {
    return it.crash.sequence > excused_through;
  });
}

bool SuspectRecord::IsQuarantined() const {
  return std::any_of(crashes.begin(), crashes.end(), [this](const auto& it) {
    return it.ran_alone && it.crash.sequence > excused_through;
  });
}

bool SuspectRecord::WasProved() const {
  return std::any_of(crashes.begin(), crashes.end(),
                     [](const SuspectCrash& it) { return it.ran_alone; });
}

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

SuspectDecision SuspectTable::Begin(const ServiceId& service,
                                    const RequestFingerprint& fingerprint,
                                    MonoTime now) {
  const auto it = records_.find(fingerprint.value);
  if (it == records_.end() || it->second.until <= now ||
      !it->second.evidence.IsSuspect()) {
    return SuspectDecision::kNotSuspect;
  }
  if (it->second.evidence.IsQuarantined()) {
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
      !record->second.evidence.WasProved()) {
    records_.erase(record);
  }
}

void SuspectTable::OnAnswered(const RequestFingerprint& fingerprint,
                              MonoTime now) {
  if (answered_.empty()) {
    answered_.resize(kAnsweredSlots);
  }
  answered_[fingerprint.value % kAnsweredSlots] = Answered{fingerprint, now};
  const auto it = records_.find(fingerprint.value);
  if (it == records_.end()) {
    return;
  }
  if (it->second.evidence.WasProved()) {
    // Peers have the record as well; excusing it reaches them, erasing it here
    // would not.
    SuspectRecord& evidence = it->second.evidence;
    evidence.excused_through =
        std::max(evidence.excused_through, LastSequence(evidence));
    UpdateDigest();
  } else {
    records_.erase(it);
  }
}

void SuspectTable::OnCrash(const TargetCrash& crash,
                           const std::vector<InFlightRequest>& in_flight,
                           MonoTime now) {
  for (const InFlightRequest& it : in_flight) {
    const SuspectCrash added{crash, it.ran_alone};
    if (added.ran_alone || !WasAnsweredLately(it.fingerprint, now)) {
      Add(it.fingerprint, added, now);
    }
  }
  UpdateDigest();
}

bool SuspectTable::Import(const SuspectRecord& record, MonoTime now) {
  if (record.remaining <= Duration::zero()) {
    return false;
  }
  const bool is_ignored =
      !record.WasProved() && WasAnsweredLately(record.fingerprint, now);
  if (is_ignored) {
    return false;
  }
  const auto known = records_.find(record.fingerprint.value);
  const bool was_quarantined =
      known != records_.end() && known->second.evidence.IsQuarantined();
  for (const SuspectCrash& it : record.crashes) {
    Add(record.fingerprint, it, now);
  }
  const auto it = records_.find(record.fingerprint.value);
  if (it == records_.end()) {
    return false;
  }
  SuspectRecord& evidence = it->second.evidence;
  evidence.excused_through =
      std::max(evidence.excused_through, record.excused_through);
  UpdateDigest();
  // Keeps peers that exchange a record from extending its lifetime.
  const bool had_more_crashes = evidence.crashes.size() > record.crashes.size();
  if (!had_more_crashes) {
    it->second.until = std::min(it->second.until, now + record.remaining);
  }
  return !was_quarantined && evidence.IsQuarantined();
}

bool SuspectTable::Lift(const RequestFingerprint& fingerprint, WallTime now) {
  const auto it = records_.find(fingerprint.value);
  if (it == records_.end()) {
    return false;
  }
  SuspectRecord& evidence = it->second.evidence;
  evidence.excused_through =
      std::max({evidence.excused_through, LastSequence(evidence),
                static_cast<std::uint64_t>(ToUnixMillis(now))});
  UpdateDigest();
  return true;
}

std::optional<SuspectRecord> SuspectTable::Find(
    const RequestFingerprint& fingerprint, MonoTime now) const {
  const auto it = records_.find(fingerprint.value);
  if (it == records_.end() || it->second.until <= now) {
    return std::nullopt;
  }
  return ToRecord(it->second, now);
}

bool SuspectTable::IsQuarantined(const RequestFingerprint& fingerprint,
                                 MonoTime now) const {
  const auto it = records_.find(fingerprint.value);
  return it != records_.end() && it->second.until > now &&
         it->second.evidence.IsQuarantined();
}

std::vector<SuspectRecord> SuspectTable::Export(MonoTime now) const {
  std::vector<SuspectRecord> records;
  for (const auto& [value, record] : records_) {
    if (record.until > now) {
      records.push_back(ToRecord(record, now));
    }
  }
  return records;
}

std::vector<SuspectRecord> SuspectTable::ExportProved(MonoTime now) const {
  std::vector<SuspectRecord> records;
  for (const auto& [value, record] : records_) {
    if (record.until > now && record.evidence.WasProved()) {
      records.push_back(ToRecord(record, now));
    }
  }
  return records;
}

std::size_t SuspectTable::QuarantinedCount() const {
  return static_cast<std::size_t>(std::count_if(
      records_.begin(), records_.end(),
      [](const auto& it) { return it.second.evidence.IsQuarantined(); }));
}

void SuspectTable::Expire(MonoTime now) {
  const std::size_t before = records_.size();
  for (auto it = records_.begin(); it != records_.end();) {
    it = it->second.until <= now ? records_.erase(it) : std::next(it);
  }
  if (records_.size() != before) {
    UpdateDigest();
  }
}

Refusal SuspectTable::RefusalFor(SuspectDecision decision) {
  const bool is_quarantined = decision == SuspectDecision::kQuarantined;
  return Refusal{Verdict::kNotRun,
                 is_quarantined ? RefusalReason::kQuarantined
                                : RefusalReason::kSuspectRunning,
                 is_quarantined
                     ? "targets crashed while they executed this request"
                     : "a target crashed while it executed this request; "
                       "another such request is running",
                 is_quarantined ? Duration::zero() : kSuspectRetryAfter};
}

bool SuspectTable::WasAnsweredLately(const RequestFingerprint& fingerprint,
                                     MonoTime now) const {
  if (answered_.empty()) {
    return false;
  }
  const Answered& last = answered_[fingerprint.value % kAnsweredSlots];
  return last.fingerprint == fingerprint && now - last.at < kAnswerEvidenceTime;
}

void SuspectTable::Add(const RequestFingerprint& fingerprint,
                       const SuspectCrash& added, MonoTime now) {
  const auto known = records_.find(fingerprint.value);
  if (known == records_.end() && records_.size() >= limits_.max_records) {
    Expire(now);
    MakeRoom();
  }
  Record& record = records_[fingerprint.value];
  SuspectRecord& evidence = record.evidence;
  evidence.fingerprint = fingerprint;
  const bool was_quarantined = evidence.IsQuarantined();
  const bool is_new = MergeCrash(evidence, added);
  const bool counts = added.crash.sequence > evidence.excused_through;
  const bool is_quarantined = evidence.IsQuarantined();
  const bool is_extended = is_quarantined ? !was_quarantined : is_new && counts;
  if (is_extended || record.until == MonoTime()) {
    record.until =
        now + (is_quarantined ? limits_.quarantine_for : limits_.suspect_for);
  }
}

void SuspectTable::MakeRoom() {
  if (records_.size() < limits_.max_records) {
    return;
  }
  const auto first = std::min_element(
      records_.begin(), records_.end(), [](const auto& a, const auto& b) {
        const bool a_is_quarantined = a.second.evidence.IsQuarantined();
        const bool b_is_quarantined = b.second.evidence.IsQuarantined();
        return a_is_quarantined != b_is_quarantined
                   ? b_is_quarantined
                   : a.second.until < b.second.until;
      });
  records_.erase(first);
}

void SuspectTable::UpdateDigest() {
  proved_digest_ = 0;
  for (const auto& [value, record] : records_) {
    if (record.evidence.WasProved()) {
      proved_digest_ ^= DigestOf(value, record.evidence.IsQuarantined());
    }
  }
}

SuspectRecord SuspectTable::ToRecord(const Record& record, MonoTime now) {
  SuspectRecord copy = record.evidence;
  copy.remaining = std::chrono::duration_cast<Duration>(record.until - now);
  return copy;
}

}  // namespace cumin
