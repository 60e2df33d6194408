// Name tables of scoped enumerations: conversion between enumerators and their names.
//
//   enum class colour { red, green };
//   template <> struct jaynotch::enum_names<colour> {
//       static constexpr std::array entries{named{colour::red, "red"},
//                                           named{colour::green, "green"}};
//   };
//   to_name(colour::red);           // "red"
//   from_name<colour>("green");     // std::optional{colour::green}
#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace jaynotch {

/// One entry of a name table.
template <class Enum>
struct named {
    Enum value;
    std::string_view name;
};

template <class Enum>
named(Enum, const char*) -> named<Enum>;

/// Specialized next to each enumeration; `entries` is its name table.
template <class Enum>
struct enum_names;

/// The name of `value`, or "?" for a value outside the table.
template <class Enum>
constexpr std::string_view to_name(Enum value) noexcept
{
    for (const auto& entry : enum_names<Enum>::entries) {
        if (entry.value == value)
            return entry.name;
    }
    return "?";
}

/// The enumerator with this name, if there is one.
template <class Enum>
constexpr std::optional<Enum> from_name(std::string_view name) noexcept
{
    for (const auto& entry : enum_names<Enum>::entries) {
        if (entry.name == name)
            return entry.value;
    }
    return std::nullopt;
}

/// All names of the table as "a, b, c", for messages that list the valid values.
template <class Enum>
std::string list_names()
{
    std::string joined;
    for (const auto& entry : enum_names<Enum>::entries) {
        if (!joined.empty())
            joined += ", ";
        joined += entry.name;
    }
    return joined;
}

} // namespace jaynotch
