#include "cuminctl/change_commands.h"

#include <thread>
#include <utility>

#include "cumin_config/config_acceptor.h"
#include "cumin_config/config_candidate.h"
#include "cuminctl/document_files.h"

namespace cumin {

namespace {

/** Waits between attempts by blocking the calling thread. */
class SleepWaiter final : public ConfigAcceptor::Waiter {
 public:
  void Wait(Duration length) override { std::this_thread::sleep_for(length); }
};

/** Builds the version that results from applying edits to a bundle.
    @returns the bundle, or the first validation error */
Result<ConfigBundle> BuildNextVersion(const ConfigBundle& base,
                                      const std::vector<PartEdit>& edits) {
  PartTexts texts;
  for (const ConfigPart& it : base.parts) {
    texts[it.name] = it.text;
  }
  for (const PartEdit& it : edits) {
    texts[it.name] = *it.text;
  }
  ConfigVersionRecord change;
  change.version = base.head.change.version + 1;
  return MakeCandidate(change, &base.head, texts);
}

bool ContainsMeshPart(const std::vector<PartEdit>& edits) {
  for (const PartEdit& it : edits) {
    if (it.name == MeshPartName()) {
      return true;
    }
  }
  return false;
}

}  // namespace

ExitCode RunValidate(const std::vector<std::string>& paths,
                     ConfigSource* source, const Output& output) {
  const Result<std::vector<PartEdit>> edits = ReadDocuments(paths);
  if (!edits) {
    return output.Fail(edits.error());
  }
  Json::Value value(Json::objectValue);
  value["valid"] = true;
  if (source == nullptr && !ContainsMeshPart(edits.value())) {
    value["whole"] = false;
    output.Write(
        "Each document is valid on its own. References to services were not "
        "checked: no mesh was given.\n",
        value);
    return kExitOk;
  }
  ConfigBundle base;
  if (source != nullptr) {
    Result<ConfigBundle> newest = source->ReadBundle(0);
    if (newest) {
      base = std::move(newest.value());
    } else if (newest.error().code != ErrorCode::kNotFound) {
      return output.Fail(newest.error());
    }
  }
  const Result<ConfigBundle> next = BuildNextVersion(base, edits.value());
  if (!next) {
    return output.Fail(next.error());
  }
  value["whole"] = true;
  output.Write("The whole configuration would be valid.\n", value);
  return kExitOk;
}

ExitCode RunChange(ChangeRequest request, const std::vector<std::string>& paths,
                   Store& store, Random& random, const Output& output) {
  Result<std::vector<PartEdit>> edits = ReadDocuments(paths);
  if (!edits) {
    return output.Fail(edits.error());
  }
  for (PartEdit& it : edits.value()) {
    request.edits.push_back(std::move(it));
  }
  if (request.change_id.empty()) {
    request.change_id = MakeChangeId(random);
  }
  SleepWaiter waiter;
  const AcceptanceOutcome outcome =
      ConfigAcceptor(store, waiter, random).Accept(std::move(request));
  output.Write(Describe(outcome), ToJson(outcome));
  return ToExitCode(outcome.result);
}

}  // namespace cumin
