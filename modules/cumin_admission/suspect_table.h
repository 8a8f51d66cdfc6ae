#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "cumin_core/identifier.h"
#include "cumin_core/time.h"
#include "cumin_core/verdict.h"

namespace cumin {

/** Identifies a request across retries; the same on every VM. */
struct RequestFingerprint {
  std::uint64_t value = 0;

  friend bool operator==(const RequestFingerprint& a,
                         const RequestFingerprint& b) {
    return a.value == b.value;
  }
  friend bool operator<(const RequestFingerprint& a,
                        const RequestFingerprint& b) {
    return a.value < b.value;
  }
};

/** @returns 16 hexadecimal digits */
std::string ToString(const RequestFingerprint& fingerprint);

/** @param key      the caller's idempotency key; if empty, the content is
                    hashed instead
    @param content  the request's path, query and body */
RequestFingerprint MakeFingerprint(const ServiceId& service,
                                   const CustomerId& customer,
                                   const OperationId& operation,
                                   const IdempotencyKey& key,
                                   const std::string& content);

/** A crash of a target process. */
struct TargetCrash {
  VmId vm;
  /** Distinguishes this crash from earlier ones of the VM's target. */
  std::uint64_t sequence = 0;

  friend bool operator==(const TargetCrash& a, const TargetCrash& b) {
    return a.vm == b.vm && a.sequence == b.sequence;
  }
};

/** A request that was in flight during target crashes, as sent to peers. */
struct SuspectRecord {
  RequestFingerprint fingerprint;
  /** The crashes during which it was in flight; two quarantine it. */
  std::vector<TargetCrash> crashes;
  /** Remaining validity of the record. */
  Duration remaining{0};

  friend bool operator==(const SuspectRecord& a, const SuspectRecord& b) {
    return a.fingerprint == b.fingerprint && a.crashes == b.crashes &&
           a.remaining == b.remaining;
  }
};

/** Whether a request may run; see SuspectTable::Begin. */
enum class SuspectDecision {
  /** Not suspect; may run without restriction. */
  kNotSuspect,
  /** Suspect; may run as the only suspect of its service. The caller must call
      Finish afterwards. */
  kRunAlone,
  /** Suspect, and another suspect of the service is running. */
  kWait,
  /** Two targets crashed while they executed it. */
  kQuarantined,
};

/** Retention times and size limit of a SuspectTable. */
struct SuspectLimits {
  Duration suspect_for{std::chrono::minutes(2)};
  Duration quarantine_for{std::chrono::minutes(10)};
  std::size_t max_records = 1024;

  friend bool operator==(const SuspectLimits& a, const SuspectLimits& b) {
    return a.suspect_for == b.suspect_for &&
           a.quarantine_for == b.quarantine_for &&
           a.max_records == b.max_records;
  }
};

/** Identifies requests that crash targets and quarantines them.

    Every request in flight during a crash becomes a suspect. The suspects of a
    service run one at a time, so that a second crash identifies the request
    that caused it, which is then quarantined. A suspect that a target answers
    is cleared.
*/
class SuspectTable {
 public:
  explicit SuspectTable(const SuspectLimits& limits = {}) : limits_(limits) {}

  /** @returns true if no request is suspect, so that callers need not compute
      fingerprints */
  bool empty() const { return records_.empty(); }

  std::size_t size() const { return records_.size(); }

  /** Decides whether a request may run now; a suspect that may run is recorded
      as the running suspect of its service. */
  SuspectDecision Begin(const ServiceId& service,
                        const RequestFingerprint& fingerprint, MonoTime now);

  /** Ends a request for which Begin returned kRunAlone.
      @param was_answered  true if a target answered it completely, which clears
                           the suspicion */
  void Finish(const ServiceId& service, const RequestFingerprint& fingerprint,
              bool was_answered);

  /** Records a target crash.
      @param crash      the crash; repeated reports of the same one are ignored
      @param in_flight  every request that the target was executing */
  void OnCrash(const TargetCrash& crash,
               const std::vector<RequestFingerprint>& in_flight, MonoTime now);

  /** Merges a peer's record. */
  void Import(const SuspectRecord& record, MonoTime now);

  /** @returns every valid record, for sending to peers */
  std::vector<SuspectRecord> Export(MonoTime now) const;

  /** Removes expired records. */
  void Expire(MonoTime now);

  /** @returns the refusal for kWait or kQuarantined; always NotRun */
  static Refusal RefusalFor(SuspectDecision decision);

 private:
  struct Record {
    std::vector<TargetCrash> crashes;
    MonoTime until;

    bool IsQuarantined() const;
  };

  void Add(const RequestFingerprint& fingerprint, const TargetCrash& crash,
           MonoTime now);
  void MakeRoom();

  SuspectLimits limits_;
  std::unordered_map<std::uint64_t, Record> records_;
  /** The running suspect of each service. */
  std::unordered_map<ServiceId, RequestFingerprint> running_;
};

}  // namespace cumin
