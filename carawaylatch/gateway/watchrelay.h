// Changes of the store that a reader passes on to another router.
//
// A router polls a reader as it would watch the store. The answer tells how old the
// reader's own confirmation is and how long the poll was held, both measured by the
// reader's clock alone; the router adds them to the time at which it sent the poll, by its
// own clock. So the age of what a router knows is counted from when the call that confirmed
// it was sent to the store, whatever happens to an answer on its way.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/base/time.h"
#include "carawaylatch/gateway/objectclient.h"

namespace carawaylatch::gateway
{

// Longest answer; a router to which more has changed reads the store itself.
constexpr std::size_t MaxRelayBytes = 4'000'000;

struct RelayPoll
{
    ObjectKind kind = ObjectKind::Tables;
    std::uint64_t since = 0; // revision that the router knows
    base::Duration wait{}; // for a change, at most
    // As of which the router knows each kind; a router of an earlier version does not tell.
    std::map<ObjectKind, std::uint64_t> revisions = {};
};

// Why a poll is not answered with changes.
enum class RelayRefusal : std::uint8_t {
    None, // answered, or a router of an earlier version refused without a reason
    Behind, // the changes since that revision are not known, or too large
    NotReader, // the router polls others itself, or has not read the objects of the kind yet
    Stopping,
    NoStore, // the store has not answered the router for too long; must stay last
};

struct RelayAnswer
{
    bool isKnown = false; // false: see refusal
    std::uint64_t revision = 0;
    base::Duration age{}; // of the reader's confirmation when it answered
    base::Duration held{}; // from the poll's arrival to the answer
    std::optional<base::Duration> returnAge; // how long ago the store was back, if the reader could not reach it before
    std::vector<StoredObject> objects;
    // How long ago the objects may have changed when the reader answered; a router of an earlier version does not tell.
    std::optional<base::Duration> changeAge;
    RelayRefusal refusal = RelayRefusal::None;
    // How long ago, when it answered or refused, the reader was last certainly told of all changes: of the polled kind, and of
    // those of which it has nothing that the poll's revisions do not include. Empty from a reader of an earlier version.
    std::map<ObjectKind, base::Duration> toldAges = {};
};

[[nodiscard]] std::string encodeRelayPoll(const RelayPoll &poll);
// InvalidArgument: the text is not a poll.
[[nodiscard]] base::Result<RelayPoll> decodeRelayPoll(std::string_view text);
// Answers over MaxRelayBytes are encoded as not known.
[[nodiscard]] std::string encodeRelayAnswer(const RelayAnswer &answer);
// InvalidArgument: the text is not an answer.
[[nodiscard]] base::Result<RelayAnswer> decodeRelayAnswer(std::string_view text);

// Answers the polls of other routers.
class RelaySource
{
public:
    virtual ~RelaySource() = default;
    // Returns nullptr if the poll is refused without a reason.
    [[nodiscard]] virtual Awaitable<std::unique_ptr<RelayAnswer>> answer(RelayPoll poll) = 0;
};

// Polls readers; one poll of a kind at a time.
class RelayClient
{
public:
    virtual ~RelayClient() = default;
    // Unavailable: no answer within the timeout, or, before it, the connection failed or the poll was interrupted.
    [[nodiscard]] virtual Awaitable<base::Result<RelayAnswer>> poll(base::Endpoint reader, RelayPoll poll, base::Duration timeout) = 0;
    // Makes all polls of a reader that are in flight fail.
    virtual void interrupt(const base::Endpoint &reader) = 0;
    // Makes the poll of a kind that is in flight fail.
    virtual void interrupt(ObjectKind kind) = 0;
};

} // namespace carawaylatch::gateway
