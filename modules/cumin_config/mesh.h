#pragma once

#include <string>
#include <vector>

#include "cumin_core/error.h"
#include "cumin_core/identifier.h"
#include "cumin_core/time.h"

namespace cumin {

/** Whether an operation may run more than once for the same call. */
enum class Repeatability {
  /** Running it again has no further effect. */
  kIdempotent,
  /** It must run at most once per idempotency key. */
  kAtMostOnce,
};

/** Priority classes for load shedding when a target is overloaded. */
enum class WorkClass {
  /** Lookups that other services wait for; shed last. */
  kInternal,
  /** Work that a user waits for. */
  kInteractive,
  /** Downloads and other deferrable work; shed first. */
  kBulk,
};

/** An operation of a service. */
struct Operation {
  OperationId name;
  /** HTTP method, e.g. "GET". */
  std::string method;
  /** The exact path, or a path prefix if it ends in '/'. */
  std::string path;
  Repeatability repeatability = Repeatability::kIdempotent;
  WorkClass work_class = WorkClass::kInteractive;

  friend bool operator==(const Operation& a, const Operation& b) {
    return a.name == b.name && a.method == b.method && a.path == b.path &&
           a.repeatability == b.repeatability && a.work_class == b.work_class;
  }
};

struct Service {
  ServiceId name;
  /** Number of shards of this service's idempotency keys. */
  int ledger_shards = 8;
  /** Time that an idempotency key is retained after its first use. */
  Duration key_window{std::chrono::minutes(10)};
  std::vector<Operation> operations;

  /** @returns the operation of that name, or null */
  const Operation* FindOperation(const OperationId& operation) const;

  friend bool operator==(const Service& a, const Service& b) {
    return a.name == b.name && a.ledger_shards == b.ledger_shards &&
           a.key_window == b.key_window && a.operations == b.operations;
  }
};

/** The services and operations that contracts refer to. */
struct Mesh {
  std::string name;
  std::vector<Service> services;

  /** @returns the service of that name, or null */
  const Service* FindService(const ServiceId& service) const;

  friend bool operator==(const Mesh& a, const Mesh& b) {
    return a.name == b.name && a.services == b.services;
  }
};

/** Parses and validates a mesh document.
    @param text    YAML
    @param source  file name or store key for error messages
    @returns the mesh, or ErrorCode::kInvalid with line, field and valid
    range */
Result<Mesh> ParseMesh(const std::string& text, const std::string& source);

}  // namespace cumin
