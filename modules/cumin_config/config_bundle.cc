#include "cumin_config/config_bundle.h"

#include <algorithm>
#include <utility>

#include "cumin_core/digest.h"
#include "cumin_core/yaml_object.h"

namespace cumin {

namespace {

Error PartError(const PartName& name, const std::string& reason) {
  return Error{ErrorCode::kInvalid, name.str(), 0, "", reason};
}

Result<void> CheckSize(const ConfigPart& part) {
  if (part.text.size() > kMaxPartBytes) {
    return PartError(
        part.name, "has more than " + std::to_string(kMaxPartBytes) + " bytes");
  }
  return Ok();
}

Result<Contract> ParseContractPart(const ConfigPart& part) {
  Result<Contract> contract = ParseContract(part.text, part.name.str());
  if (contract && CustomerPartName(contract.value().customer) != part.name) {
    return PartError(part.name, "holds the contract of \"" +
                                    contract.value().customer.str() + "\"");
  }
  return contract;
}

}  // namespace

Result<ConfigPart> IdentifyPart(std::string text, const std::string& source) {
  if (text.size() > kMaxPartBytes) {
    return Error{ErrorCode::kInvalid, source, 0, "",
                 "has more than " + std::to_string(kMaxPartBytes) + " bytes"};
  }
  if (YamlObject::Parse(text, source).Has("mesh")) {
    const Result<Mesh> mesh = ParseMesh(text, source);
    if (!mesh) {
      return mesh.error();
    }
    return ConfigPart{MeshPartName(), std::move(text)};
  }
  const Result<Contract> contract = ParseContract(text, source);
  if (!contract) {
    return contract.error();
  }
  return ConfigPart{CustomerPartName(contract.value().customer),
                    std::move(text)};
}

const ConfigPart* ConfigBundle::FindPart(const PartName& name) const {
  const auto it = std::lower_bound(
      parts.begin(), parts.end(), name,
      [](const ConfigPart& a, const PartName& b) { return a.name < b; });
  return it != parts.end() && it->name == name ? &*it : nullptr;
}

Result<void> CheckParts(const HeadRecord& head,
                        const std::vector<ConfigPart>& parts) {
  const Manifest& manifest = head.manifest;
  for (std::size_t i = 0; i < std::max(parts.size(), manifest.size()); ++i) {
    if (i >= parts.size() ||
        (i < manifest.size() && manifest[i].name < parts[i].name)) {
      return PartError(manifest[i].name, "is missing");
    }
    if (i >= manifest.size() || parts[i].name != manifest[i].name) {
      return PartError(parts[i].name, "is not in the manifest");
    }
    if (Sha256Hex(parts[i].text) != manifest[i].digest) {
      return PartError(parts[i].name, "does not match its digest");
    }
  }
  return Ok();
}

Result<RefPtr<const ConfigSnapshot>> MakeSnapshot(const ConfigBundle& bundle) {
  std::size_t bytes = 0;
  for (const ConfigPart& it : bundle.parts) {
    const Result<void> sized = CheckSize(it);
    if (!sized) {
      return sized.error();
    }
    bytes += it.text.size();
  }
  if (bytes > kMaxBundleBytes || bundle.parts.size() > kMaxParts) {
    return Error{ErrorCode::kInvalid, "", 0, "",
                 "the configuration has more than " +
                     std::to_string(kMaxBundleBytes) + " bytes or " +
                     std::to_string(kMaxParts) + " parts"};
  }
  const Result<void> matching = CheckParts(bundle.head, bundle.parts);
  if (!matching) {
    return matching.error();
  }
  Result<Mesh> mesh = PartError(MeshPartName(), "is missing");
  std::vector<Contract> contracts;
  for (const ConfigPart& it : bundle.parts) {
    if (it.name == MeshPartName()) {
      mesh = ParseMesh(it.text, it.name.str());
      continue;
    }
    Result<Contract> contract = ParseContractPart(it);
    if (!contract) {
      return contract.error();
    }
    contracts.push_back(std::move(contract.value()));
  }
  if (!mesh) {
    return mesh.error();
  }
  return ConfigSnapshot::Make(bundle.head.change.version,
                              bundle.head.manifest_digest,
                              std::move(mesh.value()), std::move(contracts));
}

Json::Value ToJson(const ConfigPart& part) {
  Json::Value value(Json::objectValue);
  value["name"] = part.name.str();
  value["text"] = part.text;
  return value;
}

std::vector<ConfigPart> ReadConfigParts(JsonObject& fields,
                                        const std::string& field) {
  std::vector<ConfigPart> parts;
  std::size_t bytes = 0;
  for (JsonObject& it : fields.Objects(field, kMaxParts)) {
    ConfigPart part;
    part.name = it.Name<PartName>("name");
    part.text = it.String("text", kMaxPartBytes);
    bytes += part.text.size();
    parts.push_back(std::move(part));
  }
  if (bytes > kMaxBundleBytes) {
    fields.Fail(field, "must have at most " + std::to_string(kMaxBundleBytes) +
                           " bytes of text");
  }
  return parts;
}

Json::Value ToJson(const ConfigBundle& bundle) {
  Json::Value value(Json::objectValue);
  value["head"] = ToJson(bundle.head);
  Json::Value& parts = value["parts"] = Json::Value(Json::arrayValue);
  for (const ConfigPart& it : bundle.parts) {
    parts.append(ToJson(it));
  }
  return value;
}

ConfigBundle ReadConfigBundle(JsonObject& fields) {
  ConfigBundle bundle;
  JsonObject head = fields.Object("head");
  bundle.head = ReadHeadRecord(head);
  bundle.parts = ReadConfigParts(fields, "parts");
  const Result<void> checked = CheckParts(bundle.head, bundle.parts);
  if (!checked) {
    fields.Fail("parts", Describe(checked.error()));
  }
  return bundle;
}

}  // namespace cumin
