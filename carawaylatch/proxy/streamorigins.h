// The software version at which a resumable stream began.
//
// A stream may go on only at upstreams of this version. A router knows it of the streams
// that it sent itself, and asks the control thread for the others.
#pragma once

#include <cstdint>

#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"

namespace carawaylatch::proxy
{

// No stream is resumed later than this after it began.
constexpr base::Duration MaxStreamTime = base::minutes{1};

struct StreamOrigin
{
    std::uint64_t stream = 0; // base::hash64 of the id of the request that began it
    base::SoftwareVersion software;
};

enum class OriginVerdict {
    Known,
    Unknown,
    Unavailable, // the store could not be read
};

struct OriginAnswer
{
    OriginVerdict verdict = OriginVerdict::Unavailable;
    base::SoftwareVersion software; // set if the verdict is Known
};

} // namespace carawaylatch::proxy
