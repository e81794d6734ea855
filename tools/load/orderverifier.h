// Compares what callers were told of their orders with what the services ran.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/ids.h"
#include "tools/load/loadclient.h"

namespace carawaylatch::load
{

// One run in a service's journal.
struct JournalEntry
{
    std::string key;
    std::string attempt;
    std::string path;
};

struct OrderVerification
{
    std::uint64_t ordersVerified = 0;
    std::uint64_t ranOnce = 0;
    std::vector<std::string> ranTwice; // keys; breaks a promise
    std::vector<std::string> notRunButRan; // keys; breaks a promise
    std::vector<std::string> doneWithoutRun; // keys; breaks a promise
    // Keys that were answered "not run" and ran, where another request of the
    // key was open or sent later, so that the answer may have been true.
    std::uint64_t ambiguous = 0;

    [[nodiscard]] std::uint64_t violations() const
    {
        return ranTwice.size() + notRunButRan.size() + doneWithoutRun.size();
    }
};

// Judges all answers of a run against the journals of all services.
[[nodiscard]] OrderVerification verifyOrders(std::span<const OrderResponse> responses, std::span<const JournalEntry> journal);

// Reads GET /journal of a service stand-in.
[[nodiscard]] base::Result<std::vector<JournalEntry>> fetchJournal(const base::Endpoint &service);

} // namespace carawaylatch::load
