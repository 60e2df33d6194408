#include "load/answer_text.h"

#include <array>

namespace jaynotch {

namespace {

constexpr std::array<std::string_view, 16> syllables{
    "ba", "de", "fi", "go", "hu", "ka", "le", "mi", "no", "pu", "ra", "se", "ti", "vo", "wu", "za"};
constexpr std::size_t min_answer_tokens = 16;
constexpr std::size_t answer_length_range = 48;

} // namespace

answer_text::answer_text(std::string_view model, std::string_view version, std::string_view prompt)
    : m_seed{hash64(prompt, hash64(version, hash64(model)))}
{}

std::string answer_text::token(std::size_t index) const
{
    std::uint64_t bits = hash64({reinterpret_cast<const char*>(&index), sizeof index}, m_seed);
    const std::size_t length = 2 + bits % 2;
    std::string word;
    for (std::size_t i = 0; i < length; ++i) {
        bits >>= 4;
        word += syllables[bits % syllables.size()];
    }
    return word + " ";
}

std::string answer_text::joined(std::size_t first, std::size_t last) const
{
    std::string text;
    for (std::size_t index = first; index < last; ++index)
        text += token(index);
    return text;
}

std::size_t answer_text::natural_length() const
{
    return min_answer_tokens + m_seed % answer_length_range;
}

std::optional<std::size_t> answer_text::tokens_in(std::string_view given) const
{
    std::size_t count = 0;
    while (!given.empty()) {
        const std::string next = token(count);
        if (!given.starts_with(next))
            return std::nullopt;
        given.remove_prefix(next.size());
        ++count;
    }
    return count;
}

} // namespace jaynotch
