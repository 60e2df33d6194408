// Writes canonical TOML: a visitor over the field list writes `name`, `kind` and each field that
// differs from its default, so that reading the text back gives the same rows (checked by a
// round-trip test).
#include "tables/fields.h"
#include "tables/parse.h"

#include <toml++/toml.h>

#include <sstream>

namespace jaynotch {

namespace {

toml::table to_toml(const share& row);

struct toml_value {
    std::string operator()(const std::string& value) const { return value; }
    template <class Tag>
    std::string operator()(const strong_id<Tag, std::string>& value) const
    {
        return value.value();
    }
    bool operator()(bool value) const { return value; }
    double operator()(double value) const { return value; }
    std::int64_t operator()(std::uint32_t value) const { return value; }
    template <class Rep, class Period>
    std::int64_t operator()(const std::chrono::duration<Rep, Period>& value) const
    {
        return value.count();
    }
    template <class Enum>
    requires std::is_enum_v<Enum> std::string operator()(Enum value) const
    {
        return std::string{to_name(value)};
    }
    toml::table operator()(const share& value) const { return to_toml(value); }
    template <class Item>
    toml::array operator()(const std::vector<Item>& values) const
    {
        toml::array array;
        for (const Item& value : values)
            array.push_back((*this)(value));
        return array;
    }
};

toml::table to_toml(const share& row)
{
    toml::table table;
    visit_fields(row, [&](std::string_view name, const auto& value) {
        table.insert(name, toml_value{}(value));
    });
    table.is_inline(true);
    return table;
}

/// Writes one "key = value" line, formatted by toml++.
template <class Value>
void write_field(std::ostream& out, std::string_view name, const Value& value)
{
    toml::table line;
    line.insert(name, toml_value{}(value));
    out << line << "\n";
}

/// The row whose field values are omitted. `retries` defaults to 0 if requests may not be repeated.
pool defaults_for(const pool& /*row*/)
{
    return {};
}
route defaults_for(const route& row)
{
    route defaults;
    if (row.repeat != repeat_policy::idempotent)
        defaults.retries = 0;
    return defaults;
}

/// Writes the fields that only a configuration from the platform's store sets, so that operators
/// see where requests go.
void write_store_fields(std::ostream& out, const route& row)
{
    if (!row.host.empty())
        write_field(out, "host", row.host);
    std::vector<std::string> services;
    for (const backend_share& share : row.backends)
        services.push_back(share.service + ":" + std::to_string(share.weight));
    if (!services.empty())
        write_field(out, "services", services);
    if (row.streaming)
        write_field(out, "streaming", row.streaming);
    if (row.resumable)
        write_field(out, "resumable", row.resumable);
    if (row.open)
        write_field(out, "open", row.open);
}

void write_store_fields(std::ostream& out, const pool& row)
{
    if (!row.service.empty())
        write_field(out, "service", row.service);
}

template <class Row>
void write_row(std::ostream& out, std::string_view key, const Row& row)
{
    out << "\n[[" << key << "]]\n";
    const Row defaults = defaults_for(row);
    visit_fields(row, [&](std::string_view name, const auto& value) {
        visit_fields(defaults, [&](std::string_view default_name, const auto& default_value) {
            if constexpr (std::is_same_v<decltype(value), decltype(default_value)>) {
                if (name == default_name &&
                    (name == "name" || name == "kind" || value != default_value))
                    write_field(out, name, value);
            }
        });
    });
    write_store_fields(out, row);
}

template <class Row>
std::string write_table(const std::string& deployment, std::string_view key,
                        const std::vector<Row>& rows)
{
    std::ostringstream out;
    write_field(out, "deployment", deployment);
    for (const Row& row : rows)
        write_row(out, key, row);
    return out.str();
}

} // namespace

std::string render_routes(const configuration& tables)
{
    return write_table(tables.deployment, "route", tables.routes);
}

std::string render_pools(const configuration& tables)
{
    return write_table(tables.deployment, "pool", tables.pools);
}

} // namespace jaynotch
