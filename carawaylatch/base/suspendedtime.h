// Time for which the system was suspended.
#pragma once

#include "carawaylatch/base/time.h"

namespace carawaylatch::base
{

// Returns the time for which the system has been suspended since it was booted.
[[nodiscard]] Duration suspendedTime();

} // namespace carawaylatch::base
