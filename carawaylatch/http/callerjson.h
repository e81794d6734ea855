// Encodes and decodes the JSON bodies of the callers' API (docs/API.md).
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

// The two variants of the completion API.
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

// Returns the decoded body, or InvalidArgument with a message that states the valid
// form.
[[nodiscard]] base::Result<CompletionBody> decodeCompletion(std::string_view body, CompletionForm form);

// Fields that identify a completion; every chunk of a stream repeats them.
struct CompletionIdentity
{
    std::string requestId;
    base::ModelId model;
    CompletionForm form = CompletionForm::Text;
};

// Each returns complete server-sent events; encodeFinalEvent() includes the [DONE]
// event that ends a stream.
[[nodiscard]] std::string encodeTokenEvent(const CompletionIdentity &identity, std::uint64_t index, std::string_view text);
[[nodiscard]] std::string encodeFinalEvent(const CompletionIdentity &identity, const relay::DoneEvent &done);
[[nodiscard]] std::string encodeErrorEvent(const base::Error &error);

[[nodiscard]] std::string encodeCompletion(const CompletionIdentity &identity, std::string_view text, const relay::DoneEvent &done);
[[nodiscard]] std::string encodeError(const base::Error &error);
[[nodiscard]] std::string encodeModels(std::span<const base::ModelId> models);

// Maps an error kind to an HTTP status.
[[nodiscard]] int httpStatus(base::ErrorKind kind);

} // namespace carawaylatch::http
