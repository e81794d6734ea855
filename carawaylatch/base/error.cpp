// Names of the error kinds, in the order of the enum.
#include "carawaylatch/base/error.h"

#include <array>

namespace carawaylatch::base
{

std::string_view errorKindName(ErrorKind kind)
{
    static constexpr std::array<std::string_view, 14> KindNames{
        "invalid_argument", "unauthenticated", "forbidden", "not_found",   "conflict",  "limit_exceeded", "overloaded",
        "unavailable",      "unclear",         "not_run",   "stale_state", "truncated", "cancelled",      "internal",
    };
    return KindNames.at(static_cast<std::size_t>(kind));
}

} // namespace carawaylatch::base
