// Incarnation numbers, which distinguish a restarted process from its predecessor.
#pragma once

#include "carawaylatch/base/ids.h"

namespace carawaylatch::base
{

// Returns a new, nonzero incarnation. It is greater than that of any process
// started at least one second earlier by the wall clock of the VM.
[[nodiscard]] Incarnation newIncarnation();

} // namespace carawaylatch::base
