#include "base/json_fields.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace jaynotch {

namespace {

constexpr std::size_t max_list_items = 100'000;

} // namespace

result<boost::json::object> parse_json_object(std::string_view body, std::string_view what,
                                              json_text text)
{
    boost::system::error_code ec;
    boost::json::parse_options options;
    options.allow_invalid_utf8 = text == json_text::any_bytes;
    boost::json::value parsed = boost::json::parse(body, ec, {}, options);
    if (ec)
        return error{error_kind::protocol, std::string{what} + " is not JSON: " + ec.message(),
                     "check that the address is that of the right service"};
    if (!parsed.is_object())
        return error{error_kind::protocol, std::string{what} + " is not a JSON object",
                     "check that the address is that of the right service"};
    return std::move(parsed.get_object());
}

const boost::json::value* json_fields::find(std::string_view name) const
{
    const boost::json::value* found = m_object->if_contains(name);
    return found == nullptr || found->is_null() ? nullptr : found;
}

void json_fields::fail(std::string_view name, std::string_view reason)
{
    if (m_failure)
        return;
    m_failure = error{error_kind::protocol,
                      std::string{m_what} + ": " + std::string{name} + " " + std::string{reason},
                      "compare the sender's version with the wire forms in docs/DESIGN.md"};
}

void json_fields::require(std::string_view name)
{
    if (find(name) == nullptr)
        fail(name, "is missing");
}

std::string json_fields::text(std::string_view name)
{
    const boost::json::value* found = find(name);
    if (found == nullptr)
        return {};
    if (!found->is_string()) {
        fail(name, "is not a string");
        return {};
    }
    return std::string{found->get_string()};
}

std::int64_t json_fields::integer(std::string_view name)
{
    const boost::json::value* found = find(name);
    if (found == nullptr)
        return 0;
    if (found->is_int64())
        return found->get_int64();
    if (found->is_string()) {
        const auto& digits = found->get_string();
        std::int64_t value = 0;
        const auto [end, ec] = std::from_chars(digits.begin(), digits.end(), value);
        if (ec == std::errc{} && end == digits.end())
            return value;
    }
    fail(name, "is not a 64-bit integer");
    return 0;
}

std::uint64_t json_fields::count(std::string_view name, std::uint64_t limit)
{
    const std::int64_t value = integer(name);
    if (value < 0 || static_cast<std::uint64_t>(value) > limit) {
        fail(name, "is out of range");
        return 0;
    }
    return static_cast<std::uint64_t>(value);
}

double json_fields::real(std::string_view name)
{
    const boost::json::value* found = find(name);
    if (found == nullptr)
        return 0.0;
    boost::system::error_code ec;
    const double value = found->to_number<double>(ec);
    if (ec || !std::isfinite(value)) {
        fail(name, "is not a number");
        return 0.0;
    }
    return value;
}

double json_fields::bounded_real(std::string_view name, double limit)
{
    return std::clamp(real(name), 0.0, limit);
}

bool json_fields::flag(std::string_view name)
{
    const boost::json::value* found = find(name);
    if (found == nullptr)
        return false;
    if (!found->is_bool()) {
        fail(name, "is not true or false");
        return false;
    }
    return found->get_bool();
}

std::vector<std::string> json_fields::texts(std::string_view name)
{
    std::vector<std::string> all;
    const boost::json::array* items = list(name);
    if (items == nullptr)
        return all;
    for (const auto& item : *items) {
        if (!item.is_string()) {
            fail(name, "holds something else than strings");
            return {};
        }
        all.emplace_back(item.get_string());
    }
    return all;
}

const boost::json::array* json_fields::list(std::string_view name)
{
    const boost::json::value* found = find(name);
    if (found == nullptr)
        return nullptr;
    if (!found->is_array() || found->get_array().size() > max_list_items) {
        fail(name, "is not a list, or too long");
        return nullptr;
    }
    return &found->get_array();
}

const boost::json::object* json_fields::object(std::string_view name)
{
    const boost::json::value* found = find(name);
    if (found == nullptr)
        return nullptr;
    if (!found->is_object()) {
        fail(name, "is not an object");
        return nullptr;
    }
    return &found->get_object();
}

} // namespace jaynotch
