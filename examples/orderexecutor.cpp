// Embeds order execution alone: a booking that runs at most once.
//
// The program supplies an object store (here in memory; in production
// store::HttpObjectStore or its own implementation), a connection to the service, and the
// liveness of its own processes. An order sent twice under one key runs once; the second
// answer is a replay.
#include <iostream>

#include <carawaylatch/base/incarnation.h>
#include <carawaylatch/orders/orderexecutor.h>
#include <carawaylatch/store/memorystore.h>

namespace base = carawaylatch::base;
namespace orders = carawaylatch::orders;
namespace store = carawaylatch::store;

namespace
{

// A service that books trucks and counts its runs.
class BookingService : public orders::ServiceConnection
{
public:
    base::Result<orders::ServiceAnswer> call(const orders::ServiceRequest &request) override
    {
        ++runs;
        return orders::ServiceAnswer{200, "text/plain", "booked for " + std::string(request.body), request.attempt, {1}};
    }

    int runs = 0;
};

class SingleUpstreamChooser : public orders::UpstreamChooser
{
public:
    base::Result<orders::ChosenUpstream> choose(const std::vector<base::UpstreamId> &refused) override
    {
        if (!refused.empty()) {
            return base::fail(base::ErrorKind::Unavailable, "the service refused; try again later", base::seconds{1});
        }
        return orders::ChosenUpstream{base::UpstreamId("desk-1"), {"10.0.0.9", 8000}};
    }
};

// Liveness for a program that is a single process.
class SingleProcessLiveness : public orders::RouterLiveness
{
public:
    orders::ClaimantLiveness livenessOf(const base::RouterId &, base::Incarnation) const override
    {
        return orders::ClaimantLiveness::Unknown;
    }
};

} // namespace

int main()
{
    store::MemoryStore objects;
    orders::ObjectRecordStore claims(objects);
    const SingleProcessLiveness liveness;
    const base::SteadyClock clock;
    orders::OrderExecutor executor(base::RouterId("booking-1"), base::newIncarnation(), claims, liveness, clock);

    BookingService service;
    SingleUpstreamChooser chooser;
    int done = 0;
    for (int i = 0; i < 2; ++i) {
        orders::OrderRequest request;
        request.customer = base::CustomerId("acme");
        request.key = "truck-4711";
        request.service.method = "POST";
        request.service.path = "/trucks";
        request.service.body = "truck DK-4711";
        request.deadline = clock.now() + base::seconds{5};
        const auto answer = executor.run(request, service, chooser);
        done += answer.kind == orders::OrderAnswerKind::Done ? 1 : 0;
        std::cout << "answer " << i + 1 << ": " << answer.answer.body << answer.error.message << '\n';
    }
    static_cast<void>(executor.flush());
    std::cout << "the service ran " << service.runs << " time for " << done << " answers\n";
    return service.runs == 1 && done == 2 ? 0 : 1;
}
