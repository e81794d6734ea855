// A part of a sum of bytes in memory, such as those of one response. It is taken from the sum when it ends.
#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace carawaylatch::proxy
{

class BufferedBytes
{
public:
    explicit BufferedBytes(std::shared_ptr<std::size_t> sum)
        : m_sum(std::move(sum))
    {
    }
    ~BufferedBytes()
    {
        set(0);
    }
    BufferedBytes(const BufferedBytes &) = delete;
    BufferedBytes &operator=(const BufferedBytes &) = delete;

    void set(std::size_t bytes)
    {
        *m_sum = *m_sum - m_bytes + bytes;
        m_bytes = bytes;
    }

private:
    std::shared_ptr<std::size_t> m_sum; // may outlive its owner, as a part may
    std::size_t m_bytes = 0;
};

} // namespace carawaylatch::proxy
