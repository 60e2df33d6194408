// Rows as canonical JSON: every field, in the order of the field list. Internal to the tables
// library.
#pragma once

#include "tables/fields.h"

#include <boost/json.hpp>

#include <array>
#include <charconv>

namespace jaynotch {

struct json_writer {
    boost::json::value operator()(const std::string& value) const
    {
        return boost::json::string(value);
    }
    template <class Tag>
    boost::json::value operator()(const strong_id<Tag, std::string>& value) const
    {
        return boost::json::string(value.value());
    }
    // Never brace-initialize a boost::json::value here: that makes an array with one element.
    boost::json::value operator()(bool value) const { return boost::json::value(value); }
    /// Writes the shortest text that reads back exactly. As a JSON number the value could change:
    /// the parser of this version of Boost.JSON rounds the last digit of some numbers, and a page
    /// would differ from the table it was made from.
    boost::json::value operator()(double value) const
    {
        std::array<char, 32> text{};
        const auto end = std::to_chars(text.data(), text.data() + text.size(), value).ptr;
        return boost::json::string(std::string_view{text.data(), end});
    }
    boost::json::value operator()(std::uint32_t value) const
    {
        return boost::json::value(static_cast<std::int64_t>(value));
    }
    template <class Rep, class Period>
    boost::json::value operator()(const std::chrono::duration<Rep, Period>& value) const
    {
        return boost::json::value(static_cast<std::int64_t>(value.count()));
    }
    template <class Enum>
    requires std::is_enum_v<Enum> boost::json::value operator()(Enum value) const
    {
        return boost::json::string(to_name(value));
    }
    template <class Item>
    boost::json::value operator()(const std::vector<Item>& values) const
    {
        boost::json::array array;
        for (const Item& value : values)
            array.push_back((*this)(value));
        return array;
    }
    template <class Row>
    requires std::is_class_v<Row> boost::json::value operator()(const Row& row) const
    {
        boost::json::object object;
        visit_fields(
            row, [&](std::string_view name, const auto& value) { object[name] = (*this)(value); });
        return object;
    }
};

/// Reads what json_writer wrote; throws (boost::system::system_error, std::exception) on anything
/// else. Missing fields keep their defaults and unknown fields are skipped, so that daemons of
/// adjacent versions can read each other's pages during a rolling upgrade.
struct json_reader {
    void operator()(const boost::json::value& from, std::string& value) const
    {
        value = std::string{std::string_view{from.as_string()}};
    }
    template <class Tag>
    void operator()(const boost::json::value& from, strong_id<Tag, std::string>& value) const
    {
        value = strong_id<Tag, std::string>{std::string{std::string_view{from.as_string()}}};
    }
    void operator()(const boost::json::value& from, bool& value) const { value = from.as_bool(); }
    void operator()(const boost::json::value& from, double& value) const
    {
        const std::string_view text = from.as_string();
        const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (status != std::errc{} || end != text.data() + text.size())
            throw exception{
                error{error_kind::invalid_table, "no number in a page", "apply the tables again"}};
    }
    void operator()(const boost::json::value& from, std::uint32_t& value) const
    {
        value = from.to_number<std::uint32_t>();
    }
    template <class Rep, class Period>
    void operator()(const boost::json::value& from, std::chrono::duration<Rep, Period>& value) const
    {
        value = std::chrono::duration<Rep, Period>{from.to_number<std::int64_t>()};
    }
    template <class Enum>
    requires std::is_enum_v<Enum>
    void operator()(const boost::json::value& from, Enum& value) const
    {
        const auto parsed = from_name<Enum>(std::string_view{from.as_string()});
        if (!parsed)
            throw exception{error{error_kind::invalid_table, "unknown enumerator in a page",
                                  "upgrade this node"}};
        value = *parsed;
    }
    template <class Item>
    void operator()(const boost::json::value& from, std::vector<Item>& values) const
    {
        values.clear();
        for (const boost::json::value& each : from.as_array()) {
            Item item;
            (*this)(each, item);
            values.push_back(std::move(item));
        }
    }
    template <class Row>
    requires std::is_class_v<Row>
    void operator()(const boost::json::value& from, Row& row) const
    {
        const boost::json::object& object = from.as_object();
        visit_fields(row, [&](std::string_view name, auto& value) {
            if (const boost::json::value* field = object.if_contains(name))
                (*this)(*field, value);
        });
    }
};

} // namespace jaynotch
