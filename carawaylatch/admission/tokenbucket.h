// A token bucket whose rate may change at any time.
//
// Tokens for the time since the last refill are added at the lower of the old and
// the new rate, and the level is capped at the new capacity, so that a change of
// rate never creates tokens. The capacity is one second of the rate, at least one
// token.
#pragma once

#include "carawaylatch/base/time.h"

namespace carawaylatch::admission
{

class TokenBucket
{
public:
    // Starts with one token, so that the first request after a start is admitted.
    explicit TokenBucket(base::TimePoint now);
    // Refills the bucket up to `now` and sets the rate, in tokens per second.
    void refill(double perSecond, base::TimePoint now);
    // Takes one token; returns false if there is none.
    [[nodiscard]] bool tryConsume();
    // Returns the time until a token is available at the current rate, one hour at most.
    [[nodiscard]] base::Duration timeToNextToken() const;

private:
    double m_level = 1;
    double m_rate = 0;
    base::TimePoint m_last;
};

} // namespace carawaylatch::admission
