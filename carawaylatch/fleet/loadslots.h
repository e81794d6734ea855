// Slots for loads of weights: at most N at once over all failure domains.
//
// Slot i of N is the object "fleet/slots/POOL/i", whose value names the engine
// that loads. A slot is taken by creating it, and given back by removing it at
// the version seen. A slot whose holder vanished is taken over after it was seen
// unchanged for `lapse` by this router's own clock, long past any load.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/platform/objectstore.h"

namespace carawaylatch::fleet
{

class LoadSlots
{
public:
    LoadSlots(platform::ObjectStore &store, base::Duration lapse);

    // Takes a slot for the engine, or finds the one it has. Overloaded: all taken.
    [[nodiscard]] base::Result<std::string> take(base::TimePoint now, const base::PoolName &pool, std::uint32_t slots, const base::UpstreamId &engine);
    // Gives the engine's slot back; false if it must be tried again.
    [[nodiscard]] bool release(const std::string &slot, const base::UpstreamId &engine);

private:
    struct Seen
    {
        platform::Version version;
        base::TimePoint since;
    };
    [[nodiscard]] bool hasLapsed(base::TimePoint now, const platform::Object &slot);

    platform::ObjectStore &m_store;
    base::Duration m_lapse;
    std::map<std::string, Seen> m_seen; // one entry a slot object
};

} // namespace carawaylatch::fleet
