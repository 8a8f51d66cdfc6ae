#include "cumin_config/config_diff.h"

#include <map>
#include <set>
#include <sstream>

#include "cumin_config/contract.h"
#include "cumin_config/mesh.h"

namespace cumin {

namespace {

/** Field values of one part, keyed by path. */
using FieldValues = std::map<std::string, std::string>;

std::string ToText(double number) {
  std::ostringstream text;
  text << number;
  return text.str();
}

const char* ToText(Repeatability it) {
  return it == Repeatability::kAtMostOnce ? "at-most-once" : "idempotent";
}

const char* ToText(WorkClass it) {
  if (it == WorkClass::kInternal) {
    return "internal";
  }
  return it == WorkClass::kBulk ? "bulk" : "interactive";
}

FieldValues Flatten(const Contract& contract) {
  FieldValues values;
  values["share"] = std::to_string(contract.share);
  values["rate_per_s"] = ToText(contract.rate_per_s);
  values["burst"] = std::to_string(contract.burst);
  values["concurrency"] = std::to_string(contract.concurrency);
  values["queue"] = std::to_string(contract.queue);
  for (const Grant& it : contract.grants) {
    const std::string path =
        "grants." + it.service.str() + "/" + it.operation.str() + ".";
    values[path + "deadline_ms"] = std::to_string(ToMillis(it.deadline));
    values[path + "retries"] = std::to_string(it.retries);
    values[path + "max_body_bytes"] = std::to_string(it.max_body_bytes);
  }
  return values;
}

void FlattenService(const Service& service, FieldValues& values) {
  const std::string path = "services." + service.name.str() + ".";
  values[path + "ledger_shards"] = std::to_string(service.ledger_shards);
  values[path + "key_window_s"] =
      std::to_string(ToMillis(service.key_window) / 1000);
  for (const Operation& it : service.operations) {
    const std::string operation = path + it.name.str() + ".";
    values[operation + "method"] = it.method;
    values[operation + "path"] = it.path;
    values[operation + "runs"] = ToText(it.repeatability);
    values[operation + "class"] = ToText(it.work_class);
  }
}

FieldValues Flatten(const Mesh& mesh) {
  FieldValues values;
  values["mesh"] = mesh.name;
  for (const Service& it : mesh.services) {
    FlattenService(it, values);
  }
  return values;
}

Result<FieldValues> FlattenPart(const ConfigPart* part) {
  if (part == nullptr) {
    return FieldValues();
  }
  const std::string& source = part->name.str();
  if (part->name == MeshPartName()) {
    const Result<Mesh> mesh = ParseMesh(part->text, source);
    if (!mesh) {
      return mesh.error();
    }
    return Flatten(mesh.value());
  }
  const Result<Contract> contract = ParseContract(part->text, source);
  if (!contract) {
    return contract.error();
  }
  return Flatten(contract.value());
}

std::optional<std::string> FindValue(const FieldValues& values,
                                     const std::string& field) {
  const auto it = values.find(field);
  return it == values.end() ? std::nullopt
                            : std::optional<std::string>(it->second);
}

void AddChanges(const PartName& part, const FieldValues& from,
                const FieldValues& to, std::vector<FieldChange>& changes) {
  std::set<std::string> fields;
  for (const auto& [field, value] : from) {
    fields.insert(field);
  }
  for (const auto& [field, value] : to) {
    fields.insert(field);
  }
  for (const std::string& it : fields) {
    FieldChange change{part, it, FindValue(from, it), FindValue(to, it)};
    if (change.before != change.after) {
      changes.push_back(std::move(change));
    }
  }
}

}  // namespace

Result<std::vector<FieldChange>> DiffBundles(const ConfigBundle& from,
                                             const ConfigBundle& to) {
  std::vector<FieldChange> changes;
  for (const PartName& it :
       ChangedParts(from.head.manifest, to.head.manifest)) {
    const Result<FieldValues> before = FlattenPart(from.FindPart(it));
    if (!before) {
      return before.error();
    }
    const Result<FieldValues> after = FlattenPart(to.FindPart(it));
    if (!after) {
      return after.error();
    }
    AddChanges(it, before.value(), after.value(), changes);
  }
  return changes;
}

std::string Describe(const std::vector<FieldChange>& changes) {
  if (changes.empty()) {
    return "Both versions configure the same.\n";
  }
  std::string text;
  for (const FieldChange& it : changes) {
    text += it.part.str() + ": " + it.field;
    if (!it.before) {
      text += " is new: " + *it.after;
    } else if (!it.after) {
      text += " is gone; it was " + *it.before;
    } else {
      text += " was " + *it.before + " and is " + *it.after;
    }
    text += ".\n";
  }
  return text;
}

Json::Value ToJson(const std::vector<FieldChange>& changes) {
  Json::Value list(Json::arrayValue);
  for (const FieldChange& it : changes) {
    Json::Value change(Json::objectValue);
    change["part"] = it.part.str();
    change["field"] = it.field;
    change["before"] = it.before ? Json::Value(*it.before) : Json::Value();
    change["after"] = it.after ? Json::Value(*it.after) : Json::Value();
    list.append(change);
  }
  return list;
}

}  // namespace cumin
