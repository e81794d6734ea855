// Model of one order for exhaustive exploration: two routers with restarts, an
// object store that loses answers and delays writes, a pruner, and a service that
// records which requests it ran.
//
// The real OrderStateMachine, PendingUpdate and answerDuplicate are under test; the
// model adds their surroundings. Invariants, in every state:
//   - the service ran the order at most once;
//   - no request received before a NotRun answer was given has run or runs later;
//   - no request that was told that it did not run has run or runs later;
//   - each Done answer and each Done record is the answer of the run.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "carawaylatch/orders/duplicates.h"
#include "carawaylatch/orders/orderstatemachine.h"
#include "testing/explorer.h"

namespace carawaylatch::orders::testing
{

enum class RequestPhase {
    NotArrived, // not received yet
    Active, // its state machine runs
    WaitingForFirst, // another request at the router runs the state machine
    Answered,
    RouterCrashed, // its router crashed
};

struct ModelRequest
{
    int router = 0;
    RequestPhase phase = RequestPhase::NotArrived;
    std::optional<OrderStateMachine> stateMachine;
    OrderAction action; // next action, in phase Active
    store::Version seenAtArrival; // version of the reopened record seen by the router; zero: none
    std::optional<OrderAnswer> answer;
};

struct ModelRouter
{
    std::uint64_t incarnation = 1;
    store::Version seenReopened;
    std::optional<PendingUpdate> pendingUpdate;
};

struct DelayedWrite
{
    OrderRecord record;
    store::Version expected;
};

struct ModelLimits
{
    int faults = 2; // lost, delayed, refused or unreachable calls
    int crashes = 1;
    int prunes = 0;
    int epochWrites = 0; // writes of a record's epoch by the pruner, which change its version
    bool isLivenessWrong = false; // membership reports live routers as gone and gone ones as live
};

class OrderModel
{
public:
    // Creates a request for the same order for each entry, the router that gets it (0 or 1).
    OrderModel(const std::vector<int> &routers, ModelLimits limits);

    [[nodiscard]] std::string key() const;
    [[nodiscard]] std::vector<carawaylatch::testing::Transition<OrderModel>> transitions() const;
    [[nodiscard]] std::string violation() const;
    [[nodiscard]] bool hasRun() const;

private:
    using Transitions = std::vector<carawaylatch::testing::Transition<OrderModel>>;

    void addArrivals(Transitions &transitions) const;
    void addRequestSteps(Transitions &transitions) const;
    void addWrite(Transitions &transitions, std::size_t request) const;
    void addSend(Transitions &transitions, std::size_t request) const;
    void addPendingUpdateSteps(Transitions &transitions) const;
    void addPlatformSteps(Transitions &transitions) const;
    void addCrashes(Transitions &transitions) const;

    void arrive(std::size_t request);
    void applyAction(std::size_t request, OrderAction action);
    void deliverAnswer(std::size_t request, const OrderAnswer &answer);
    void run(std::size_t request);
    void crash(int router);
    void finishPendingUpdate(int router);
    [[nodiscard]] std::optional<std::size_t> activeAt(int router) const;
    [[nodiscard]] ClaimantLiveness livenessOf(const Claimant &claimant) const;
    [[nodiscard]] base::Result<VersionedRecord> readRecord() const;
    base::Result<store::Version> writeRecord(const OrderRecord &record, store::Version expected);
    [[nodiscard]] OrderAction read(std::size_t request, const base::Result<VersionedRecord> &result);
    void landRun(std::size_t index);

    std::vector<ModelRequest> m_requests;
    ModelRouter m_routers[2];
    ModelLimits m_remaining;
    std::optional<VersionedRecord> m_record;
    std::uint64_t m_lastVersion = 0;
    bool m_isClosed = false;
    std::vector<DelayedWrite> m_delayed;
    std::vector<std::size_t> m_delayedRuns; // requests sent that the service may still run
    std::vector<std::size_t> m_runs; // requests that the service has run
    std::uint32_t m_received = 0; // bit set of the requests received
    std::uint32_t m_mustNotRun = 0; // bit set of the requests that by some answer must not run
};

} // namespace carawaylatch::orders::testing
