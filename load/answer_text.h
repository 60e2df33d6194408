// The text that a stand-in engine answers with: a function of model, version, prompt and position.
// Whoever asked can check the whole answer byte for byte, also one that was resumed on another
// engine, and sees at once if it got another caller's answer or one spliced from two versions.
//
//   const answer_text text{"duct-router", "v3", prompt};
//   text.token(0) + text.token(1) + ...      // text.joined(0, n)
#pragma once

#include "base/base.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jaynotch {

class answer_text {
public:
    answer_text(std::string_view model, std::string_view version, std::string_view prompt);

    /// Token `index`, with the space that parts it from the next.
    [[nodiscard]] std::string token(std::size_t index) const;
    /// Tokens [first, last) as one string.
    [[nodiscard]] std::string joined(std::size_t first, std::size_t last) const;
    /// How many tokens the engine gives before it ends of itself.
    [[nodiscard]] std::size_t natural_length() const;
    /// How many tokens `given` is; empty if it is no whole number of this text's first tokens.
    [[nodiscard]] std::optional<std::size_t> tokens_in(std::string_view given) const;

private:
    std::uint64_t m_seed = 0;
};

} // namespace jaynotch
