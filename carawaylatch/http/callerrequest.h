// Request header parsing and error responses, shared by the callers' and the
// operators' server.
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

// Returns the request's metadata, or InvalidArgument with the name of the invalid
// header. The request id is empty if the caller sent none or one with characters
// other than letters, digits, '-', '_' and '.'.
[[nodiscard]] base::Result<RequestMetadata> readRequestMetadata(const httplib::Request &request);

// Fills the response with the error's status and JSON body; adds Retry-After, rounded
// up to seconds, if the error has a retry delay.
void respondWithError(httplib::Response &response, const base::Error &error);

} // namespace carawaylatch::http
