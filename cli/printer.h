// Output as aligned columns for people and as JSON for programs.
#pragma once

#include <boost/json.hpp>

#include <ostream>
#include <string>
#include <vector>

namespace jaynotch {

/// Rows of a table; the first row is the heading.
using text_rows = std::vector<std::vector<std::string>>;

/// Prints columns padded to their widest cell and separated by two spaces.
void print_columns(std::ostream& out, const text_rows& rows);

/// Prints JSON on one line.
void print_json(std::ostream& out, const boost::json::value& value);

/// Returns the named field, or nullptr if `object` is not an object or lacks the field.
const boost::json::value* find_field(const boost::json::value& object, std::string_view name);

/// Formats a field for people: strings without quotes, lists separated by commas, missing or null
/// fields and empty lists as "-".
std::string field_text(const boost::json::value& object, std::string_view name);

/// Prints the named fields of each object in `list`, one row per object, with the names as heading.
void print_objects(std::ostream& out, const boost::json::value& list,
                   const std::vector<std::string>& fields);

} // namespace jaynotch
