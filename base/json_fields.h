// Reads the members of a JSON object and keeps the first error:
//
//   BOOST_OUTCOME_TRY(auto object, parse_json_object(body, "engine report"));
//   json_fields fields{object, "engine report"};
//   report.model = fields.text("model");
//   if (fields.failure()) return *fields.failure();
//
// A missing member reads as empty, zero or false, as in the JSON mapping of protocol buffers;
// `require` makes a missing member an error. Used by adapters and stand-ins.
#pragma once

#include "base/error.h"
#include "base/names.h"
#include "base/result.h"

#include <boost/json.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jaynotch {

/// Whether strings may hold bytes that are no UTF-8.
enum class json_text { utf8, any_bytes };

/// Parses a body that must be one JSON object; `what` names the document in errors.
result<boost::json::object> parse_json_object(std::string_view body, std::string_view what,
                                              json_text text = json_text::utf8);

class json_fields {
public:
    json_fields(const boost::json::object& object, std::string_view what)
        : m_object{&object}, m_what{what}
    {}

    std::string text(std::string_view name);
    /// An integer, or a string of decimal digits, as 64-bit integers may be written in JSON.
    std::int64_t integer(std::string_view name);
    /// An integer within [0, limit].
    std::uint64_t count(std::string_view name, std::uint64_t limit);
    double real(std::string_view name);
    /// A number, moved into [0, limit].
    double bounded_real(std::string_view name, double limit);
    bool flag(std::string_view name);
    std::vector<std::string> texts(std::string_view name);
    /// Null if the member is missing.
    const boost::json::array* list(std::string_view name);
    /// Null if the member is missing.
    const boost::json::object* object(std::string_view name);
    /// Calls `read(object)`, which returns a result<void>, for each object of a list, up to the
    /// first error. A missing list counts as empty.
    template <class Read>
    result<void> for_each_object(std::string_view name, Read read)
    {
        const boost::json::array* items = list(name);
        if (m_failure)
            return *m_failure;
        if (items == nullptr)
            return success();
        for (const boost::json::value& item : *items) {
            const boost::json::object* inner = item.if_object();
            if (inner == nullptr) {
                fail(name, "holds something else than objects");
                return *m_failure;
            }
            BOOST_OUTCOME_TRY(read(*inner));
        }
        return success();
    }
    /// Whether the member is there and not null.
    [[nodiscard]] bool has(std::string_view name) const { return find(name) != nullptr; }
    void require(std::string_view name);
    /// The enumerator named by the member, or `default_value` if the member is missing. An unknown
    /// name is an error.
    template <class Enum>
    Enum enumerator(std::string_view name, Enum default_value)
    {
        const std::string text_value = text(name);
        if (text_value.empty())
            return default_value;
        const auto found = from_name<Enum>(text_value);
        if (!found)
            fail(name, "must be one of " + list_names<Enum>());
        return found.value_or(default_value);
    }

    /// Records an error of a member, unless an earlier one is recorded.
    void fail(std::string_view name, std::string_view reason);
    [[nodiscard]] const std::optional<error>& failure() const { return m_failure; }

private:
    const boost::json::value* find(std::string_view name) const;

    const boost::json::object* m_object;
    std::string_view m_what;
    std::optional<error> m_failure;
};

} // namespace jaynotch
