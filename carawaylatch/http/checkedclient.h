// An httplib client that takes only valid responses.
//
// httplib takes any three digits for a status, ignores lines of a head that it can't read and knows neither trailers nor
// interim responses but 100. Here every response passes through proxy::HttpResponseParser first: a call whose response is not
// valid HTTP/1.1, or not complete, fails with httplib::Error::Read, and interim responses are dropped.
#pragma once

#include <httplib.h>

#include <functional>

namespace carawaylatch::http
{

class CheckedClient : public httplib::ClientImpl
{
public:
    using httplib::ClientImpl::ClientImpl;

private:
    bool process_socket(const Socket &socket, std::function<bool(httplib::Stream &stream)> callback) override;
};

} // namespace carawaylatch::http
