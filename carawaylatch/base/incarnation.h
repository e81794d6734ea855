// Incarnations of processes.
#pragma once

#include "carawaylatch/base/ids.h"

namespace carawaylatch::base
{

// Returns a new incarnation: never zero, and greater than that of a process of
// the same name started at least a second before, as the clock of the VM tells.
[[nodiscard]] Incarnation newIncarnation();

} // namespace carawaylatch::base
