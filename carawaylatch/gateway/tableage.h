// How long ago the configuration was last confirmed.
//
// The age counts time in which the VM was suspended, which a steady clock leaves
// out: after a suspension a router must not take its configuration for new.
// Written by the control thread, read by the traffic thread.
#pragma once

#include <atomic>
#include <cstdint>

#include "carawaylatch/base/time.h"

namespace carawaylatch::gateway
{

class TableAge
{
public:
    // Time since the VM started, suspension included.
    [[nodiscard]] static base::Duration bootTime();

    // The configuration was the newest at a time, as bootTime() told it then.
    void confirm(base::Duration at);
    // Age of the last confirmation; the time since the VM started before the first.
    [[nodiscard]] base::Duration age() const;

private:
    std::atomic<std::int64_t> m_confirmedAt = 0; // nanoseconds of bootTime()
};

} // namespace carawaylatch::gateway
