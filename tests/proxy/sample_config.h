#pragma once

#include "cumin_config/config_snapshot.h"

namespace cumin::test {

/** @returns a small valid configuration: service "orderdesk" with a price
    lookup and a quote acceptance, and a contract of customer "fabricators" */
inline RefPtr<const ConfigSnapshot> SampleSnapshot() {
  const Mesh mesh = ParseMesh(R"(
mesh: sample
services:
  - name: orderdesk
    operations:
      - {name: price, method: GET, path: /prices/, runs: idempotent}
      - {name: accept, method: POST, path: /quotes, runs: at-most-once}
      - {name: purge, method: DELETE, path: /quotes, runs: idempotent}
)",
                              "mesh.yaml")
                        .value();
  const Contract contract = ParseContract(R"(
customer: fabricators
grants:
  - {service: orderdesk, operation: price, deadline_ms: 400, max_body_bytes: 10}
  - {service: orderdesk, operation: accept, deadline_ms: 900}
)",
                                          "fabricators.yaml")
                                .value();
  return ConfigSnapshot::Make(7, "digest", mesh, {contract}).value();
}

}  // namespace cumin::test
