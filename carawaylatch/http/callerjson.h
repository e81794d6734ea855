// JSON of the callers' interface (docs/API.md).
#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "carawaylatch/base/error.h"
#include "carawaylatch/base/ids.h"
#include "carawaylatch/relay/engineconnection.h"

namespace carawaylatch::http
{

// The two forms of a completion.
enum class CompletionForm {
    Text, // /v1/completions
    Chat, // /v1/chat/completions
};

enum class Streaming {
    Off,
    On,
};

struct CompletionBody
{
    base::ModelId model;
    std::string prompt;
    std::uint32_t maxTokens = 0;
    Streaming streaming = Streaming::Off;
};

constexpr std::uint32_t DefaultMaxTokens = 256;
constexpr std::uint32_t MaxMaxTokens = 1'000'000;

// Returns the body's values, or InvalidArgument with what to write instead.
[[nodiscard]] base::Result<CompletionBody> decodeCompletion(std::string_view body, CompletionForm form);

// Parts of an answer's identity that each chunk repeats.
struct CompletionIdentity
{
    std::string requestId;
    base::ModelId model;
    CompletionForm form = CompletionForm::Text;
};

// Each returns one complete server-sent event.
[[nodiscard]] std::string encodeTokenEvent(const CompletionIdentity &identity, std::uint64_t index, std::string_view text);
[[nodiscard]] std::string encodeFinalEvent(const CompletionIdentity &identity, const relay::DoneEvent &done);
[[nodiscard]] std::string encodeErrorEvent(const base::Error &error);

[[nodiscard]] std::string encodeCompletion(const CompletionIdentity &identity, std::string_view text, const relay::DoneEvent &done);
[[nodiscard]] std::string encodeError(const base::Error &error);
[[nodiscard]] std::string encodeModels(std::span<const base::ModelId> models);

// Returns the HTTP status that stands for an error kind.
[[nodiscard]] int httpStatus(base::ErrorKind kind);

} // namespace carawaylatch::http
