// The difference of the clock that includes suspension and the one that omits it.
#include "carawaylatch/base/suspendedtime.h"

namespace carawaylatch::base
{

Duration suspendedTime()
{
    return SteadyClock().now().time_since_epoch() - std::chrono::steady_clock::now().time_since_epoch();
}

} // namespace carawaylatch::base
