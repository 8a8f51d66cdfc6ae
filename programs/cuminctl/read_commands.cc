#include "cuminctl/read_commands.h"

#include <vector>

#include "cumin_config/config_diff.h"
#include "cumin_config/config_history.h"

namespace cumin {

ExitCode RunHistory(ConfigSource& source, std::uint64_t limit,
                    const Output& output) {
  const Result<std::vector<ConfigVersionRecord>> history =
      source.ReadHistory(limit);
  if (!history) {
    return output.Fail(history.error());
  }
  Json::Value value(Json::objectValue);
  value["history"] = ToJson(history.value());
  output.Write(DescribeHistory(history.value()), value);
  return kExitOk;
}

ExitCode RunDiff(ConfigSource& source, std::uint64_t from, std::uint64_t to,
                 const Output& output) {
  const Result<ConfigBundle> before = source.ReadBundle(from);
  if (!before) {
    return output.Fail(before.error());
  }
  const Result<ConfigBundle> after = source.ReadBundle(to);
  if (!after) {
    return output.Fail(after.error());
  }
  const Result<std::vector<FieldChange>> changes =
      DiffBundles(before.value(), after.value());
  if (!changes) {
    return output.Fail(changes.error());
  }
  Json::Value value(Json::objectValue);
  value["from"] = ToJson(before.value().head.change);
  value["to"] = ToJson(after.value().head.change);
  value["changes"] = ToJson(changes.value());
  output.Write("From " + Describe(before.value().head.change) + "\nto " +
                   Describe(after.value().head.change) + "\n" +
                   Describe(changes.value()),
               value);
  return kExitOk;
}

}  // namespace cumin
