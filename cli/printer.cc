#include "cli/printer.h"

#include <algorithm>

namespace jaynotch {

namespace {

std::string value_text(const boost::json::value& value)
{
    if (value.is_string())
        return std::string{std::string_view{value.as_string()}};
    if (value.is_null())
        return "-";
    if (!value.is_array())
        return boost::json::serialize(value);
    std::string joined;
    for (const boost::json::value& item : value.as_array())
        joined += (joined.empty() ? "" : ",") + value_text(item);
    return joined.empty() ? "-" : joined;
}

} // namespace

void print_columns(std::ostream& out, const text_rows& rows)
{
    std::vector<std::size_t> widths;
    for (const auto& row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    for (const auto& row : rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            line += row[i];
            if (i + 1 < row.size())
                line.append(widths[i] - row[i].size() + 2, ' ');
        }
        out << line << "\n";
    }
}

void print_json(std::ostream& out, const boost::json::value& value)
{
    out << boost::json::serialize(value) << "\n";
}

const boost::json::value* find_field(const boost::json::value& object, std::string_view name)
{
    const boost::json::object* fields = object.if_object();
    return fields == nullptr ? nullptr : fields->if_contains(name);
}

std::string field_text(const boost::json::value& object, std::string_view name)
{
    const boost::json::value* field = find_field(object, name);
    return field == nullptr ? "-" : value_text(*field);
}

void print_objects(std::ostream& out, const boost::json::value& list,
                   const std::vector<std::string>& fields)
{
    text_rows rows{fields};
    if (const boost::json::array* items = list.if_array()) {
        for (const boost::json::value& item : *items) {
            std::vector<std::string> row;
            for (const std::string& field : fields)
                row.push_back(field_text(item, field));
            rows.push_back(std::move(row));
        }
    }
    print_columns(out, rows);
}

} // namespace jaynotch
