// The cost of one request, and the time in which a limit gives it; see customerlimit.h.
#include "carawaylatch/admission/customerlimit.h"

#include <algorithm>
#include <limits>

namespace carawaylatch::admission
{

std::uint32_t CustomerLimit::cost(std::uint64_t tokens) const
{
    if (unit == LimitUnit::Requests) {
        return 1;
    }
    constexpr std::uint64_t MaxCost = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<std::uint64_t>(tokens != 0 ? tokens : defaultTokens, 1, MaxCost));
}

base::Duration fillTime(double tokens, double perSecond)
{
    if (tokens >= perSecond * base::toSeconds(MaxRetryAfter)) {
        return MaxRetryAfter;
    }
    return tokens > 0 ? base::fromSeconds(tokens / perSecond) : base::Duration{};
}

} // namespace carawaylatch::admission
