// A number that is the whole of a text.
//
//   const std::optional<double> seconds = parse_number<double>(header);
#pragma once

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace jaynotch {

/// nullopt if the text is empty, is no number, goes on after it, or the number is out of range.
template <class Number>
std::optional<Number> parse_number(std::string_view text)
{
    Number number{};
    const auto [end, failed] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || failed != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

} // namespace jaynotch
