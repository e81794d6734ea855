// What the callers' and the operators' port read from a request's headers, and
// how both answer errors.
#pragma once

#include "carawaylatch/base/error.h"
#include "carawaylatch/http/callerhandler.h"

namespace httplib
{
struct Request;
struct Response;
} // namespace httplib

namespace carawaylatch::http
{

// Returns what every request carries, or InvalidArgument that names the header.
// The request id is empty if the caller sent none, or one that is no plain word.
[[nodiscard]] base::Result<RequestMetadata> readRequestMetadata(const httplib::Request &request);

// Answers with the error's status, body and Retry-After.
void respondWithError(httplib::Response &response, const base::Error &error);

} // namespace carawaylatch::http
