#pragma once

#include <string>
#include <vector>

#include "cumin_core/error.h"
#include "cumin_core/identifier.h"
#include "cumin_core/time.h"

namespace cumin {

/** Whether running an operation twice does harm. */
enum class Repeatability {
  /** Running it again changes nothing more. */
  kIdempotent,
  /** It must run at most once for each idempotency key. */
  kAtMostOnce,
};

/** The order in which classes of work are kept when a target is overloaded. */
enum class WorkClass {
  /** Lookups that other services wait on; kept longest. */
  kInternal,
  /** Work that a person waits on. */
  kInteractive,
  /** Downloads and other work that can wait; shed first. */
  kBulk,
};

/** One operation that a service offers. */
struct Operation {
  OperationId name;
  /** HTTP method, e.g. "GET". */
  std::string method;
  /** The path, or its leading part when it ends in '/'. */
  std::string path;
  Repeatability repeatability = Repeatability::kIdempotent;
  WorkClass work_class = WorkClass::kInteractive;

  friend bool operator==(const Operation& a, const Operation& b) {
    return a.name == b.name && a.method == b.method && a.path == b.path &&
           a.repeatability == b.repeatability && a.work_class == b.work_class;
  }
};

/** One service of the mesh. */
struct Service {
  ServiceId name;
  /** How many parts the idempotency keys of this service are split into. */
  int ledger_shards = 8;
  /** How long a key is remembered after its first use. */
  Duration key_window{std::chrono::minutes(10)};
  std::vector<Operation> operations;

  /** @returns the operation, or null when the service has none of that name */
  const Operation* FindOperation(const OperationId& operation) const;

  friend bool operator==(const Service& a, const Service& b) {
    return a.name == b.name && a.ledger_shards == b.ledger_shards &&
           a.key_window == b.key_window && a.operations == b.operations;
  }
};

/** The services of one mesh, which contracts refer to. */
struct Mesh {
  std::string name;
  std::vector<Service> services;

  /** @returns the service, or null when the mesh has none of that name */
  const Service* FindService(const ServiceId& service) const;

  friend bool operator==(const Mesh& a, const Mesh& b) {
    return a.name == b.name && a.services == b.services;
  }
};

/** Parses and checks a mesh document.
    @param text    YAML
    @param source  the file or store key to name in errors
    @returns the mesh, or ErrorCode::kInvalid with line, field and range */
Result<Mesh> ParseMesh(const std::string& text, const std::string& source);

}  // namespace cumin
