// A token bucket whose rate may change at any time.
//
// Credit for the time since the last look is given at the lesser of the old and
// the new rate, and the level is cut to the new capacity: a change of rate never
// makes tokens. Capacity is one second of the rate, at least one request.
#pragma once

#include "carawaylatch/base/time.h"

namespace carawaylatch::admission
{

class TokenBucket
{
public:
    // Starts with one token, so that the first request of a new router passes.
    explicit TokenBucket(base::TimePoint now);
    // Brings the bucket to `now` under a rate in tokens per second.
    void refill(double perSecond, base::TimePoint now);
    // Takes one token; false if there is none.
    [[nodiscard]] bool tryConsume();
    // Returns the time until one token is there at the last rate; an hour at most.
    [[nodiscard]] base::Duration timeToNextToken() const;

private:
    double m_level = 1;
    double m_rate = 0;
    base::TimePoint m_last;
};

} // namespace carawaylatch::admission
