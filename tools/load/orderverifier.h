// Compares the responses to orders with the runs in the journals of the services.
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
    std::vector<std::string> ranTwice; // keys; a violation
    std::vector<std::string> notRunButRan; // keys; a violation
    std::vector<std::string> doneWithoutRun; // keys; a violation
    // Keys that ran despite a response "not run", where another request of the key was in
    // flight or sent later, so that the response may have been true.
    std::uint64_t ambiguous = 0;

    [[nodiscard]] std::uint64_t violations() const
    {
        return ranTwice.size() + notRunButRan.size() + doneWithoutRun.size();
    }
};

// Verifies all responses of a run against the journals of all services.
[[nodiscard]] OrderVerification verifyOrders(std::span<const OrderResponse> responses, std::span<const JournalEntry> journal);

// Fetches the journal of a service stand-in (GET /journal). Error Unavailable: it can't be
// fetched or parsed.
[[nodiscard]] base::Result<std::vector<JournalEntry>> fetchJournal(const base::Endpoint &service);

} // namespace carawaylatch::load
