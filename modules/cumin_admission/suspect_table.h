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

/** Identifies a request across resends, equally on every VM. */
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

/** @param key      the caller's idempotency key; when empty, the content counts
    @param content  the request's path, query and body
    @returns the fingerprint of the request */
RequestFingerprint MakeFingerprint(const ServiceId& service,
                                   const CustomerId& customer,
                                   const OperationId& operation,
                                   const IdempotencyKey& key,
                                   const std::string& content);

/** One crash of one target process. */
struct TargetCrash {
  VmId vm;
  /** Tells this crash of the VM's target from its earlier ones. */
  std::uint64_t sequence = 0;

  friend bool operator==(const TargetCrash& a, const TargetCrash& b) {
    return a.vm == b.vm && a.sequence == b.sequence;
  }
};

/** A request that was in flight when targets crashed, as told to peers. */
struct SuspectRecord {
  RequestFingerprint fingerprint;
  /** The crashes it was part of; two are enough to quarantine it. */
  std::vector<TargetCrash> crashes;
  /** How long the record still counts. */
  Duration remaining{0};

  friend bool operator==(const SuspectRecord& a, const SuspectRecord& b) {
    return a.fingerprint == b.fingerprint && a.crashes == b.crashes &&
           a.remaining == b.remaining;
  }
};

/** What may be done with a request. */
enum class SuspectDecision {
  /** Not suspect; runs like any other. */
  kFree,
  /** Suspect; runs as the only suspect of its service. Call Finish after. */
  kRunAlone,
  /** Suspect, and another suspect of the service is running. */
  kWait,
  /** Two targets crashed under it. */
  kQuarantined,
};

/** Limits of a SuspectTable. */
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

/** Finds the request that crashes targets and keeps it from the next one.

    Every request in flight at a crash becomes suspect. Suspects of a service
    run one at a time, so a second crash points at one of them, which is then
    quarantined. An answer clears a suspect.
*/
class SuspectTable {
 public:
  /** @param limits  times and size */
  explicit SuspectTable(const SuspectLimits& limits = {}) : limits_(limits) {}

  /** @returns true when no request is suspect, so that no fingerprint is
      needed */
  bool empty() const { return records_.empty(); }

  std::size_t size() const { return records_.size(); }

  /** Decides whether a request may run now, and notes it as running when it
      is suspect. */
  SuspectDecision Begin(const ServiceId& service,
                        const RequestFingerprint& fingerprint, MonoTime now);

  /** A request that Begin allowed as kRunAlone has ended.
      @param was_answered  true when a target answered it whole, which clears
                           it */
  void Finish(const ServiceId& service, const RequestFingerprint& fingerprint,
              bool was_answered);

  /** A target crashed.
      @param crash      which crash; the same one may be reported again
      @param in_flight  every request it was executing
      @param now        the time */
  void OnCrash(const TargetCrash& crash,
               const std::vector<RequestFingerprint>& in_flight, MonoTime now);

  /** Takes in a peer's record. */
  void Import(const SuspectRecord& record, MonoTime now);

  /** @returns every record that still counts, for peers */
  std::vector<SuspectRecord> Export(MonoTime now) const;

  /** Forgets records whose time has passed. */
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
  /** The suspect that runs, by service. */
  std::unordered_map<ServiceId, RequestFingerprint> running_;
};

}  // namespace cumin
