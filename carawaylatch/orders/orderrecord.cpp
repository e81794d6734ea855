// Names, hashes and encoding of order records.
//
// Records are protobuf messages: during an upgrade routers of two versions run side
// by side, and a field that one of them doesn't know must not prevent it from
// reading the claim. An unknown state does prevent it: a router that can't interpret
// a record must not run the order.
#include "carawaylatch/orders/orderrecord.h"

#include <cctype>

#include "carawaylatch/base/hash.h"
#include "carawaylatch/orders/recordcodec.h"

namespace carawaylatch::orders
{

namespace
{

bool isPlain(char c)
{
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '.' || c == '_' || c == '-';
}

void appendEscaped(std::string &out, std::string_view text)
{
    static constexpr std::string_view Digits = "0123456789abcdef";
    for (const char c : text) {
        if (isPlain(c)) {
            out += c;
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        out += '~';
        out += Digits[byte >> 4U];
        out += Digits[byte & 0xFU];
    }
}

int hexValue(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

base::Result<std::string> unescape(std::string_view text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '~') {
            out += text[i];
            continue;
        }
        const int high = i + 2 < text.size() ? hexValue(text[i + 1]) : -1;
        const int low = i + 2 < text.size() ? hexValue(text[i + 2]) : -1;
        if (high < 0 || low < 0) {
            return base::fail(base::ErrorKind::InvalidArgument, "order path has an invalid escape; remove the object if no router wrote it");
        }
        out += static_cast<char>(high * 16 + low);
        i += 2;
    }
    return out;
}

} // namespace

std::uint64_t OrderId::hash() const
{
    return base::combineHashes(base::hash64(customer.value()), base::hash64(key));
}

std::string OrderId::path() const
{
    std::string out;
    out.reserve(customer.value().size() + key.size() + 1);
    appendEscaped(out, customer.value());
    out += '/';
    appendEscaped(out, key);
    return out;
}

base::Result<OrderId> OrderId::fromPath(std::string_view path)
{
    const std::size_t slash = path.find('/');
    if (slash == std::string_view::npos) {
        return base::fail(base::ErrorKind::InvalidArgument, "order path has no customer; remove the object if no router wrote it");
    }
    BOOST_OUTCOME_TRY(customer, unescape(path.substr(0, slash)));
    BOOST_OUTCOME_TRY(key, unescape(path.substr(slash + 1)));
    return OrderId{base::CustomerId(customer), std::move(key)};
}

std::uint64_t requestDigest(std::string_view method, std::string_view path, std::string_view contentType, std::string_view body)
{
    std::uint64_t digest = 0;
    for (const std::string_view part : {method, path, contentType, body}) {
        digest = base::combineHashes(digest, base::hash64(part));
    }
    return digest;
}

wire::OrderRecord toWire(const OrderRecord &record)
{
    wire::OrderRecord message;
    message.set_state(static_cast<std::uint32_t>(record.state) + 1);
    message.set_router(record.claimant.router.value());
    message.set_incarnation(record.claimant.incarnation.value);
    message.set_attempt(record.claimant.attempt.value);
    message.set_request_digest(record.requestDigest);
    message.set_epoch(record.epoch);
    message.set_status(record.answer.status);
    message.set_content_type(record.answer.contentType);
    message.set_body(record.answer.body);
    message.set_answer_dropped(record.isAnswerDropped);
    return message;
}

base::Result<OrderRecord> fromWire(const wire::OrderRecord &message)
{
    constexpr std::uint32_t LastState = static_cast<std::uint32_t>(RecordState::Reopened) + 1;
    if (message.state() == 0 || message.state() > LastState) {
        return base::fail(base::ErrorKind::InvalidArgument, "order record has an unknown state; upgrade this router to the version that wrote it");
    }
    OrderRecord record;
    record.state = static_cast<RecordState>(message.state() - 1);
    record.claimant.router = base::RouterId(message.router());
    record.claimant.incarnation.value = message.incarnation();
    record.claimant.attempt.value = message.attempt();
    record.requestDigest = message.request_digest();
    record.epoch = message.epoch();
    record.answer.status = message.status();
    record.answer.contentType = message.content_type();
    record.answer.body = message.body();
    record.isAnswerDropped = message.answer_dropped();
    return record;
}

OrderRecord dropOversizedAnswer(OrderRecord record)
{
    if (record.answer.body.size() > MaxStoredAnswerBytes) {
        record.answer.body.clear();
        record.isAnswerDropped = true;
    }
    return record;
}

std::string encodeRecord(const OrderRecord &record)
{
    return toWire(record).SerializeAsString();
}

base::Result<OrderRecord> decodeRecord(std::string_view bytes)
{
    wire::OrderRecord message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return base::fail(base::ErrorKind::InvalidArgument, "order record can't be decoded; remove the object if no router wrote it");
    }
    return fromWire(message);
}

} // namespace carawaylatch::orders
