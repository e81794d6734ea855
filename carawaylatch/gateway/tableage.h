// Time since the configuration was last confirmed as the newest.
//
// The age includes time in which the VM was suspended, which a steady clock omits: after
// a suspension a router must not treat its configuration as recent. The control thread
// writes the time, the traffic thread reads the age.
#pragma once

#include <atomic>
#include <cstdint>

#include "carawaylatch/base/time.h"

namespace carawaylatch::gateway
{

class TableAge
{
public:
    // Time since the VM booted, including suspension.
    [[nodiscard]] static base::Duration bootTime();

    // The configuration was the newest at time `at` of bootTime().
    void confirm(base::Duration at);
    // Time since the last confirmation; before the first one, the time since boot.
    [[nodiscard]] base::Duration age() const;

private:
    std::atomic<std::int64_t> m_confirmedAt = 0; // nanoseconds of bootTime()
};

} // namespace carawaylatch::gateway
