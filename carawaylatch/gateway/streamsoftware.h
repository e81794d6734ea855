// Drives SoftwareVersions and StreamRecords against the store, and answers questions for the software
// of a stream from fresh reads.
//
// Three coroutines, each with its own connection, so that a question does not wait for a write.
// All state belongs to the control thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/gateway/objectclient.h"
#include "carawaylatch/gateway/softwareversions.h"
#include "carawaylatch/gateway/streamrecords.h"
#include "carawaylatch/proxy/streamorigins.h"
#include "carawaylatch/telemetry/eventlog.h"

namespace carawaylatch::gateway
{

// The control thread's state of the fleet, as far as it concerns the software of streams.
struct StreamSoftwareInput
{
    SoftwareInput versions; // without the era
    bool isListed = false; // the coordination objects and upstreams were read at least once
};

class StreamSoftware
{
public:
    static constexpr std::size_t MaxQuestions = 1'024; // waiting; further ones are answered Unavailable
    static constexpr std::uint32_t ReadsPerSecond = 800; // for searches, of all routers
    static constexpr base::Duration MinSearchInterval = base::milliseconds{20};
    static constexpr base::Duration MaxQuestionWait = base::seconds{1}; // for a search to begin; with a longer one to come, the answer is Unavailable at once

    // All references must outlive the object. `publish` gets the admitted software when it has changed.
    StreamSoftware(boost::asio::io_context &loop, const base::Clock &clock, const base::RouterId &router, ObjectClientFactory &clients,
                   telemetry::EventLog &log, std::function<StreamSoftwareInput()> input, std::function<void(const SoftwareByPool &)> publish);

    // Tasks that do not end; each is run once.
    [[nodiscard]] Awaitable<void> runVersions();
    [[nodiscard]] Awaitable<void> runRecords();
    [[nodiscard]] Awaitable<void> runSearches();

    // The coordination object as the watch has it; null: absent. Publishes what it admits.
    void onObject(const StoredObject *object);
    void onStreamsSent(const std::vector<proxy::StreamOrigin> &streams);
    void findOrigin(const base::PoolName &pool, std::uint64_t stream, std::function<void(proxy::OriginAnswer)> done);
    // The router of this name is removed from the store; its records are removed too.
    void onRouterRemoved(const std::string &router);

private:
    struct Waiting
    {
        OriginSearch::Question question;
        std::function<void(proxy::OriginAnswer)> done;
    };

    [[nodiscard]] Awaitable<void> stepVersions(ObjectClient &client, const StreamSoftwareInput &input);
    [[nodiscard]] Awaitable<void> stepRecords(ObjectClient &client, const StreamSoftwareInput &input);
    [[nodiscard]] Awaitable<void> removeRecords(ObjectClient &client);
    [[nodiscard]] Awaitable<void> waitForQuestion();
    // Returns false if the store could not be read. `calls` is the number of calls made.
    [[nodiscard]] Awaitable<bool> search(ObjectClient &client, OriginSearch &search, std::uint32_t &calls);
    void publishAdmitted();
    [[nodiscard]] Awaitable<void> pause(base::Duration duration);

    boost::asio::io_context &m_loop;
    const base::Clock &m_clock;
    const std::string m_router;
    ObjectClientFactory &m_clients;
    telemetry::EventLog &m_log;
    std::function<StreamSoftwareInput()> m_input;
    std::function<void(const SoftwareByPool &)> m_publish;
    SoftwareVersions m_versions;
    StreamRecords m_records;
    SoftwareByPool m_published;
    bool m_wasObjectSeen = false; // at the last call of onObject()
    base::TimePoint m_checkedAt; // that the object is absent
    std::vector<Waiting> m_questions; // put since the last search was sent
    boost::asio::steady_timer *m_searchTimer = nullptr; // while the search waits for questions; owned by waitForQuestion()
    base::TimePoint m_nextSearch; // not before it
    std::set<std::string> m_removedRouters; // whose records are still to be removed
};

} // namespace carawaylatch::gateway
