// Little-endian integers in the messages between routers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace carawaylatch::proxy
{

template <typename T>
void appendInteger(std::string &out, T value)
{
    for (std::size_t i = 0; i < sizeof(T); ++i) {
        out.push_back(static_cast<char>((value >> (8 * i)) & 0xFFU));
    }
}

// Removes an integer from the front; the caller has checked the length.
template <typename T>
T takeInteger(std::string_view &bytes)
{
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i) {
        value |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
    }
    bytes.remove_prefix(sizeof(T));
    return static_cast<T>(value);
}

} // namespace carawaylatch::proxy
