// HTTP/1.1 message heads, and the rules for forwarding their fields.
//
// Fields keep their order and spelling, so that they are forwarded as received.
// Hop-by-hop fields are never forwarded.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace carawaylatch::proxy
{

struct HttpField
{
    std::string name;
    std::string value;

    bool operator==(const HttpField &) const = default;
};
using HttpFields = std::vector<HttpField>;

struct HttpRequestHead
{
    std::string method;
    std::string target;
    bool isHttp11 = true;
    HttpFields fields;
};

struct HttpResponseHead
{
    unsigned status = 0;
    std::string reason;
    HttpFields fields;
};

// Compares ASCII text without regard to case.
[[nodiscard]] bool equalsIgnoringCase(std::string_view left, std::string_view right);

// Returns the value of the first field with this name, or nullptr.
[[nodiscard]] const std::string *findField(const HttpFields &fields, std::string_view name);

// Returns the number of fields with this name.
[[nodiscard]] std::size_t countFields(const HttpFields &fields, std::string_view name);

// Returns the end-to-end fields: all but the hop-by-hop fields of RFC 9110, section
// 7.6.1, those listed in Connection, and the framing fields.
[[nodiscard]] HttpFields forwardableFields(const HttpFields &fields);

// Appends "name: value\r\n".
void appendField(std::string &out, std::string_view name, std::string_view value);

// Returns the standard reason phrase of a status, or "Unknown".
[[nodiscard]] std::string_view reasonPhrase(unsigned status);

} // namespace carawaylatch::proxy
