// Field rules of HTTP/1.1 (RFC 9110 and RFC 9112) that apply to a proxy.
#include "carawaylatch/proxy/httpmessage.h"

#include <algorithm>
#include <array>

#include "carawaylatch/config/valuetext.h"

namespace carawaylatch::proxy
{

namespace
{

// Hop-by-hop fields and framing fields, which each hop sets itself.
constexpr std::array<std::string_view, 10> HopByHopFields{
    "connection", "keep-alive",        "proxy-connection", "proxy-authenticate", "proxy-authorization", "te",
    "trailer",    "transfer-encoding", "upgrade",          "content-length"};

char lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

// True if a Connection field lists the name as an option.
bool isNamedByConnection(const HttpFields &fields, std::string_view name)
{
    for (const HttpField &field : fields) {
        if (!equalsIgnoringCase(field.name, "connection")) {
            continue;
        }
        const auto options = config::splitList(field.value);
        const bool isNamed = std::any_of(options.begin(), options.end(), [name](std::string_view option) {
            return equalsIgnoringCase(option, name);
        });
        if (isNamed) {
            return true;
        }
    }
    return false;
}

} // namespace

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
        return lower(a) == lower(b);
    });
}

const std::string *findField(const HttpFields &fields, std::string_view name)
{
    const auto it = std::find_if(fields.begin(), fields.end(), [name](const HttpField &field) {
        return equalsIgnoringCase(field.name, name);
    });
    return it == fields.end() ? nullptr : &it->value;
}

std::size_t countFields(const HttpFields &fields, std::string_view name)
{
    return static_cast<std::size_t>(std::count_if(fields.begin(), fields.end(), [name](const HttpField &field) {
        return equalsIgnoringCase(field.name, name);
    }));
}

HttpFields forwardableFields(const HttpFields &fields)
{
    HttpFields out;
    out.reserve(fields.size());
    for (const HttpField &field : fields) {
        const bool isHopByHop = std::any_of(HopByHopFields.begin(), HopByHopFields.end(), [&field](std::string_view name) {
            return equalsIgnoringCase(field.name, name);
        });
        if (!isHopByHop && !isNamedByConnection(fields, field.name)) {
            out.push_back(field);
        }
    }
    return out;
}

void appendField(std::string &out, std::string_view name, std::string_view value)
{
    out.append(name).append(": ").append(value).append("\r\n");
}

std::string_view reasonPhrase(unsigned status)
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Unknown";
    }
}

} // namespace carawaylatch::proxy
