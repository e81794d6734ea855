// Slots for loads of weights: at most N at once over all pools and domains, as
// many as the weight store bears.
//
// Slot i of N is the object "fleet/slots/i", whose value names the engine that
// loads. A slot is taken by creating it, and given back by removing it at the
// version seen. A slot whose holder vanished is taken over after it was seen
// unchanged for `lapse` by this router's own clock, which must be longer than any
// load.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/store/objectstore.h"

namespace carawaylatch::fleet
{

class LoadSlots
{
public:
    LoadSlots(store::ObjectStore &store, base::Duration timeout);

    // Takes one of the first `slots` slots for the engine, or finds the one it
    // has. Overloaded: all are taken. Unclear: ask again to find out.
    [[nodiscard]] base::Result<void> acquire(base::TimePoint now, std::uint32_t slots, const base::UpstreamId &engine);
    // Gives back every slot of the engine; an error means to try again.
    [[nodiscard]] base::Result<void> release(std::uint32_t slots, const base::UpstreamId &engine);
    // Returns the engines that hold slots; unreadable slots are left out.
    [[nodiscard]] std::vector<base::UpstreamId> holders(std::uint32_t slots);

private:
    struct Observation
    {
        store::Version version;
        base::TimePoint since;
    };
    [[nodiscard]] bool hasExpired(base::TimePoint now, const store::Object &slot);

    store::ObjectStore &m_store;
    base::Duration m_timeout;
    std::map<std::string, Observation> m_observations; // one entry a slot
};

} // namespace carawaylatch::fleet
