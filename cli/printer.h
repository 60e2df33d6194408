// Output for people (aligned columns) and for programs (JSON).
#pragma once

#include <boost/json.hpp>

#include <ostream>
#include <string>
#include <vector>

namespace jaynotch {

/// Rows of a table; the first is its heading.
using text_rows = std::vector<std::vector<std::string>>;

/// Prints columns padded to the widest cell, two blanks between them.
void print_columns(std::ostream& out, const text_rows& rows);

/// Prints JSON on one line.
void print_json(std::ostream& out, const boost::json::value& value);

/// The named field of an object, or null if it has none.
const boost::json::value* find_field(const boost::json::value& object, std::string_view name);

/// A field as people read it: strings without quotes, lists by commas, what is missing as "-".
std::string field_text(const boost::json::value& object, std::string_view name);

/// Prints the named fields of each object of a list, with the fields' names as heading.
void print_objects(std::ostream& out, const boost::json::value& list,
                   const std::vector<std::string>& fields);

} // namespace jaynotch
