#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "cumin_config/config_bundle.h"
#include "cumin_core/digest.h"

namespace cumin::test {

/** @returns a mesh document with two services */
inline std::string SampleMesh() {
  return R"(mesh: swan-coil
services:
  - name: catalogue
    operations:
      - {name: price, method: GET, path: /price/, runs: idempotent}
  - name: orderdesk
    operations:
      - {name: accept, method: POST, path: /accept, runs: at-most-once}
)";
}

/** @returns a contract document with the given rate */
inline std::string SampleContract(const std::string& customer, int rate) {
  return "customer: " + customer + "\nrate_per_s: " + std::to_string(rate) +
         "\ngrants:\n  - {service: catalogue, operation: price}\n";
}

/** @returns the version that follows `previous`
    @param previous  the preceding version, or null for the first
    @param texts     all parts of the new version */
inline ConfigBundle MakeBundle(const ConfigBundle* previous,
                               const std::map<PartName, std::string>& texts) {
  ConfigVersionRecord change;
  change.version = previous == nullptr ? 1 : previous->head.change.version + 1;
  change.change_id = ChangeId("c-" + std::to_string(change.version));
  change.accepted_at =
      FromUnixMillis(static_cast<std::int64_t>(change.version) * 60000);
  change.author = "anna";
  change.note = "note " + std::to_string(change.version);
  ConfigBundle bundle;
  Manifest manifest;
  for (const auto& [name, text] : texts) {
    manifest.push_back({name, Sha256Hex(text)});
    bundle.parts.push_back({name, text});
  }
  bundle.head =
      MakeHeadRecord(change, previous == nullptr ? nullptr : &previous->head,
                     std::move(manifest));
  return bundle;
}

/** @returns version 1 with the mesh and one customer */
inline ConfigBundle SampleBundle() {
  return MakeBundle(nullptr, {{MeshPartName(), SampleMesh()},
                              {PartName("customer/fabricators"),
                               SampleContract("fabricators", 100)}});
}

}  // namespace cumin::test
