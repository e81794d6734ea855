// Validates request bodies field by field, so that an error message can name the
// invalid field and the valid form.
#include "carawaylatch/http/callerjson.h"

#include <nlohmann/json.hpp>

namespace carawaylatch::http
{

namespace
{

using Json = nlohmann::json;

base::Error invalidArgument(std::string message)
{
    return base::fail(base::ErrorKind::InvalidArgument, std::move(message));
}

std::string dump(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string sseEvent(const Json &json)
{
    return "data: " + dump(json) + "\n\n";
}

// Joins chat messages in the engine's prompt format: a role tag before each message
// and the assistant's tag at the end.
base::Result<std::string> formatChatPrompt(const Json &messages)
{
    if (!messages.is_array() || messages.empty()) {
        return invalidArgument("\"messages\" is not a list of messages; write [{\"role\":\"user\",\"content\":\"...\"}]");
    }
    std::string prompt;
    for (const auto &it : messages) {
        if (!it.is_object() || !it.contains("role") || !it["role"].is_string() || !it.contains("content") || !it["content"].is_string()) {
            return invalidArgument("a message lacks \"role\" or \"content\" as strings; write {\"role\":\"user\",\"content\":\"...\"}");
        }
        prompt += "<|" + it["role"].get<std::string>() + "|>\n" + it["content"].get<std::string>() + "\n";
    }
    return prompt + "<|assistant|>\n";
}

base::Result<std::string> parsePrompt(const Json &json, CompletionForm form)
{
    if (form == CompletionForm::Chat) {
        return formatChatPrompt(json.value("messages", Json()));
    }
    if (!json.contains("prompt") || !json["prompt"].is_string()) {
        return invalidArgument("\"prompt\" is missing or not a string; write the prompt as one JSON string");
    }
    return json["prompt"].get<std::string>();
}

base::Result<std::uint32_t> parseMaxTokens(const Json &json)
{
    if (!json.contains("max_tokens")) {
        return DefaultMaxTokens;
    }
    const Json &value = json["max_tokens"];
    if (!value.is_number_integer() || value.get<std::int64_t>() < 1 || value.get<std::int64_t>() > MaxMaxTokens) {
        return invalidArgument("\"max_tokens\" is not a whole number from 1 to " + std::to_string(MaxMaxTokens) + "; write one or leave it out");
    }
    return value.get<std::uint32_t>();
}

Json choiceJson(CompletionForm form, Streaming streaming, std::string_view text, const Json &finishReason)
{
    Json json{{"index", 0}, {"finish_reason", finishReason}};
    if (form == CompletionForm::Text) {
        json["text"] = text;
    } else if (streaming == Streaming::On) {
        json["delta"] = {{"content", text}};
    } else {
        json["message"] = {{"role", "assistant"}, {"content", text}};
    }
    return json;
}

Json completionJson(const CompletionIdentity &identity, Streaming streaming, std::string_view text, const Json &finishReason)
{
    const std::string_view object = identity.form == CompletionForm::Text ? "text_completion"
                                    : streaming == Streaming::On          ? "chat.completion.chunk"
                                                                          : "chat.completion";
    return {{"id", identity.requestId},
            {"object", object},
            {"model", identity.model.value()},
            {"choices", Json::array({choiceJson(identity.form, streaming, text, finishReason)})}};
}

void addUsage(Json &json, const relay::DoneEvent &done)
{
    const auto &usage = done.usage;
    json["usage"] = {{"prompt_tokens", usage.promptTokens},
                     {"completion_tokens", done.count},
                     {"total_tokens", usage.promptTokens + done.count},
                     {"prompt_tokens_details", {{"cached_tokens", usage.cachedTokens}}}};
    json["token_count"] = done.count;
}

// Returns the error type as the common clients of completion APIs expect it.
std::string_view errorType(int status)
{
    switch (status) {
    case 401:
        return "authentication_error";
    case 403:
        return "permission_error";
    case 404:
        return "not_found_error";
    case 429:
        return "rate_limit_error";
    default:
        return status < 500 ? "invalid_request_error" : "server_error";
    }
}

Json errorJson(const base::Error &error)
{
    Json json{{"type", errorType(httpStatus(error.kind))}, {"code", base::errorKindName(error.kind)}, {"message", error.message}};
    if (error.retryAfter > base::Duration{}) {
        json["retry_after_ms"] = base::toMilliseconds(error.retryAfter);
    }
    return {{"error", std::move(json)}};
}

} // namespace

base::Result<CompletionBody> decodeCompletion(std::string_view body, CompletionForm form)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object()) {
        return invalidArgument("the body is not a JSON object; send {\"model\":\"...\",\"prompt\":\"...\"}");
    }
    if (!json.contains("model") || !json["model"].is_string()) {
        return invalidArgument("\"model\" is missing or not a string; GET /v1/models lists the models");
    }
    if (json.contains("stream") && !json["stream"].is_boolean()) {
        return invalidArgument("\"stream\" is not true or false; write one or leave it out");
    }
    CompletionBody completion;
    completion.model = base::ModelId(json["model"].get<std::string>());
    BOOST_OUTCOME_TRY(prompt, parsePrompt(json, form));
    BOOST_OUTCOME_TRY(maxTokens, parseMaxTokens(json));
    completion.prompt = std::move(prompt);
    completion.maxTokens = maxTokens;
    completion.streaming = json.value("stream", false) ? Streaming::On : Streaming::Off;
    return completion;
}

std::string encodeTokenEvent(const CompletionIdentity &identity, std::uint64_t index, std::string_view text)
{
    Json json = completionJson(identity, Streaming::On, text, nullptr);
    json["token_index"] = index;
    return sseEvent(json);
}

std::string encodeFinalEvent(const CompletionIdentity &identity, const relay::DoneEvent &done)
{
    Json json = completionJson(identity, Streaming::On, "", done.finishReason);
    addUsage(json, done);
    return sseEvent(json) + "data: [DONE]\n\n";
}

std::string encodeErrorEvent(const base::Error &error)
{
    return sseEvent(errorJson(error));
}

std::string encodeCompletion(const CompletionIdentity &identity, std::string_view text, const relay::DoneEvent &done)
{
    Json json = completionJson(identity, Streaming::Off, text, done.finishReason);
    addUsage(json, done);
    return dump(json);
}

std::string encodeError(const base::Error &error)
{
    return dump(errorJson(error));
}

std::string encodeModels(std::span<const base::ModelId> models)
{
    Json data = Json::array();
    for (const auto &it : models) {
        data.push_back({{"id", it.value()}, {"object", "model"}});
    }
    return Json{{"object", "list"}, {"data", std::move(data)}}.dump();
}

int httpStatus(base::ErrorKind kind)
{
    switch (kind) {
    case base::ErrorKind::InvalidArgument:
        return 400;
    case base::ErrorKind::Unauthenticated:
        return 401;
    case base::ErrorKind::Forbidden:
        return 403;
    case base::ErrorKind::NotFound:
        return 404;
    case base::ErrorKind::Conflict:
        return 409;
    case base::ErrorKind::LimitExceeded:
        return 429;
    case base::ErrorKind::Overloaded:
    case base::ErrorKind::Unavailable:
    case base::ErrorKind::NotRun:
        return 503;
    case base::ErrorKind::Unclear:
    case base::ErrorKind::StaleState:
    case base::ErrorKind::Truncated:
        return 502;
    case base::ErrorKind::Cancelled:
        return 499;
    case base::ErrorKind::Internal:
        return 500;
    }
    return 500;
}

} // namespace carawaylatch::http
