// The body of an answer that is held until it is whole, in blocks of a fixed size: it takes hardly
// more memory than its bytes, and growing copies nothing.
//
//   answer_blocks body;
//   body.append(piece);
//   for (const std::string& block : body.blocks()) ...
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <utility>

namespace jaynotch {

class answer_blocks {
public:
    static constexpr std::size_t block_bytes = 16 * 1024;

    answer_blocks() = default;
    explicit answer_blocks(std::string whole) : m_size{whole.size()}
    {
        m_blocks.push_back(std::move(whole));
    }

    void append(std::string_view piece)
    {
        m_size += piece.size();
        while (!piece.empty()) {
            if (m_blocks.empty() || m_blocks.back().size() >= block_bytes) {
                m_blocks.emplace_back();
                if (m_blocks.size() > 1) // a small answer takes less than a block
                    m_blocks.back().reserve(block_bytes);
            }
            std::string& last = m_blocks.back();
            const std::string_view part = piece.substr(0, block_bytes - last.size());
            last.append(part);
            piece.remove_prefix(part.size());
        }
    }

    [[nodiscard]] std::size_t size() const { return m_size; }
    [[nodiscard]] const std::deque<std::string>& blocks() const { return m_blocks; }
    /// All blocks in one text.
    [[nodiscard]] std::string joined() const
    {
        std::string whole;
        whole.reserve(m_size);
        for (const std::string& block : m_blocks)
            whole += block;
        return whole;
    }

private:
    std::deque<std::string> m_blocks;
    std::size_t m_size = 0;
};

} // namespace jaynotch
