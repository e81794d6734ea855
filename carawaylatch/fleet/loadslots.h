// Limits concurrent loads of weights to N over all pools and failure domains, which is
// the number of loads that the weight store can serve.
//
// Slot i of N is the object "fleet/slots/i", whose value is the id of the engine that
// loads. A slot is acquired by creating or overwriting the object and released by
// removing it, both on the condition that its version is unchanged. A slot whose
// holder has crashed is taken over once its version was unchanged for `timeout` on this
// router's clock; `timeout` must exceed the longest load.
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

    // Acquires one of the first `slots` slots for the engine, or finds the one that it
    // holds. Overloaded: all are in use. Unclear: the result is unknown; call again.
    [[nodiscard]] base::Result<void> acquire(base::TimePoint now, std::uint32_t slots, const base::UpstreamId &engine);
    // Releases every slot of the engine. Call again after an error.
    [[nodiscard]] base::Result<void> release(std::uint32_t slots, const base::UpstreamId &engine);
    // Returns the engines that hold slots, without slots that could not be read.
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
    std::map<std::string, Observation> m_observations; // by slot name
};

} // namespace carawaylatch::fleet
