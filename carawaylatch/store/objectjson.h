// JSON encoding of the platform's object API (docs/design/wire.md), shared by the
// client and the stand-in. Values are arbitrary bytes, encoded as base64.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "carawaylatch/store/objectstore.h"

namespace carawaylatch::store
{

[[nodiscard]] std::string encodeObject(const Object &object);
[[nodiscard]] std::string encodeChanges(const ObjectChanges &changes);
[[nodiscard]] std::string encodeVersion(Version version);
[[nodiscard]] std::string encodeVms(const std::vector<VmRecord> &vms);

// Each decoder returns InvalidArgument if the text is not a valid encoding.
[[nodiscard]] base::Result<Object> decodeObject(std::string_view text);
[[nodiscard]] base::Result<ObjectChanges> decodeChanges(std::string_view text);
[[nodiscard]] base::Result<Version> decodeVersion(std::string_view text);
[[nodiscard]] base::Result<std::vector<VmRecord>> decodeVms(std::string_view text);

} // namespace carawaylatch::store
