#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
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
  /** Unix time of the crash in milliseconds, by the clock of the VM; unique
      among the crashes of the VM's target. */
  std::uint64_t sequence = 0;

  friend bool operator==(const TargetCrash& a, const TargetCrash& b) {
    return a.vm == b.vm && a.sequence == b.sequence;
  }
};

/** A request that a target was executing when it crashed. */
struct InFlightRequest {
  RequestFingerprint fingerprint;
  /** SuspectTable::Begin returned kRunAlone for it. */
  bool ran_alone = false;

  friend bool operator==(const InFlightRequest& a, const InFlightRequest& b) {
    return a.fingerprint == b.fingerprint && a.ran_alone == b.ran_alone;
  }
};

/** A crash during which a request was in flight. */
struct SuspectCrash {
  TargetCrash crash;
  /** The target executed it as its only suspect, which proves that it was the
      cause. */
  bool ran_alone = false;

  friend bool operator==(const SuspectCrash& a, const SuspectCrash& b) {
    return a.crash == b.crash && a.ran_alone == b.ran_alone;
  }
};

/** A request that was in flight during target crashes, as sent to peers. */
struct SuspectRecord {
  RequestFingerprint fingerprint;
  std::vector<SuspectCrash> crashes;
  /** Crashes up to this sequence no longer count against the request: a target
      has answered it since, or an operator lifted the quarantine. */
  std::uint64_t excused_through = 0;
  /** Remaining validity of the record. */
  Duration remaining{0};

  /** @returns true if a crash that counts makes it a suspect */
  bool IsSuspect() const;

  /** @returns true if a crash that counts was proved to be caused by it */
  bool IsQuarantined() const;

  /** @returns true if a crash was proved to be caused by it, also one that no
      longer counts */
  bool WasProved() const;

  friend bool operator==(const SuspectRecord& a, const SuspectRecord& b) {
    return a.fingerprint == b.fingerprint && a.crashes == b.crashes &&
           a.excused_through == b.excused_through && a.remaining == b.remaining;
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
  /** Proved to crash its targets. */
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

    A request in flight during a crash becomes a suspect. The suspects of a
    service run one at a time on each daemon, so that the next crash identifies
    the request that caused it; that one is quarantined. Several crashes at once
    prove nothing: when many targets end together, a request that many callers
    send is in flight at several of them.

    A suspect that a target answers is cleared. Crashes of a request that a
    target beside this daemon answered shortly before are ignored, so that
    requests that are sent often do not become suspects.

    Not thread-safe.
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

  /** Records that a target answered a request completely, suspect or not. */
  void OnAnswered(const RequestFingerprint& fingerprint, MonoTime now);

  /** Records a target crash.
      @param crash      the crash; repeated reports of the same one are ignored
      @param in_flight  every request that the target was executing */
  void OnCrash(const TargetCrash& crash,
               const std::vector<InFlightRequest>& in_flight, MonoTime now);

  /** Merges a peer's record.
      @returns true if the request is quarantined here from now on */
  bool Import(const SuspectRecord& record, MonoTime now);

  /** Ends the suspicion or quarantine of a request; a later crash counts again.
      @param now  crashes before it no longer count, also those that are not
                  known here yet
      @returns false if the request is unknown */
  bool Lift(const RequestFingerprint& fingerprint, WallTime now);

  /** @returns the valid record of a request */
  std::optional<SuspectRecord> Find(const RequestFingerprint& fingerprint,
                                    MonoTime now) const;

  /** @returns whether the request is proved to crash its targets */
  bool IsQuarantined(const RequestFingerprint& fingerprint, MonoTime now) const;

  /** @returns every valid record, for sending to peers */
  std::vector<SuspectRecord> Export(MonoTime now) const;

  /** @returns the valid records of requests that are or were quarantined */
  std::vector<SuspectRecord> ExportProved(MonoTime now) const;

  /** @returns a digest of which requests are quarantined, and which were until
      an answer or an operator ended it; 0 when there are none */
  std::uint64_t ProvedDigest() const { return proved_digest_; }

  /** @returns the number of quarantined requests */
  std::size_t QuarantinedCount() const;

  /** Removes expired records. */
  void Expire(MonoTime now);

  /** @returns the refusal for kWait or kQuarantined; always NotRun */
  static Refusal RefusalFor(SuspectDecision decision);

 private:
  struct Record {
    /** Its remaining validity is not used. */
    SuspectRecord evidence;
    MonoTime until;
  };
  struct Answered {
    RequestFingerprint fingerprint;
    MonoTime at;
  };

  bool WasAnsweredLately(const RequestFingerprint& fingerprint,
                         MonoTime now) const;
  void Add(const RequestFingerprint& fingerprint, const SuspectCrash& added,
           MonoTime now);
  void MakeRoom();
  void UpdateDigest();
  static SuspectRecord ToRecord(const Record& record, MonoTime now);

  SuspectLimits limits_;
  std::unordered_map<std::uint64_t, Record> records_;
  /** The running suspect of each service. */
  std::unordered_map<ServiceId, RequestFingerprint> running_;
  /** Recent answers, each in the slot that its fingerprint selects; empty until
      the first one. */
  std::vector<Answered> answered_;
  std::uint64_t proved_digest_ = 0;
};

}  // namespace cumin
