// Head records and deltas are JSON objects. A delta holds a checksum over all digests of the head
// it leads to, so it can't be applied to a head other than the one it was made from.
#include "config/head.h"

#include <boost/json.hpp>

namespace jaynotch {

namespace json = boost::json;

namespace {

constexpr int revision_digits = 12;

json::array to_json(const std::vector<std::string>& texts)
{
    json::array out;
    for (const std::string& text : texts)
        out.emplace_back(text);
    return out;
}

std::vector<std::string> to_strings(const json::value& texts)
{
    std::vector<std::string> out;
    for (const json::value& text : texts.as_array())
        out.emplace_back(text.as_string());
    return out;
}

std::string string_field(const json::object& object, std::string_view field)
{
    return std::string{object.at(field).as_string()};
}

json::object to_json(const history_entry& entry)
{
    return {{"revision", entry.revision.value()},
            {"change_id", entry.change_id},
            {"author", entry.author},
            {"time_ms", entry.time_ms},
            {"message", entry.message},
            {"rows", to_json(entry.rows)}};
}

history_entry parse_history_entry(const json::value& value)
{
    const json::object& object = value.as_object();
    return {config_revision{object.at("revision").to_number<std::int64_t>()},
            string_field(object, "change_id"),
            string_field(object, "author"),
            object.at("time_ms").to_number<std::int64_t>(),
            string_field(object, "message"),
            to_strings(object.at("rows"))};
}

std::string manifest_checksum(const page_manifest& manifest)
{
    std::string all = manifest.deployment;
    for (const std::string& digest : manifest.routes)
        all += '/' + digest;
    for (const std::string& digest : manifest.pools)
        all += '|' + digest;
    return page_digest(all);
}

/// The buckets that differ, as a list of bucket number, digest, bucket number, digest, ...
json::array changed_buckets(const std::vector<std::string>& from,
                            const std::vector<std::string>& to)
{
    json::array out;
    for (std::size_t i = 0; i < to.size(); ++i) {
        if (from[i] == to[i])
            continue;
        out.emplace_back(i);
        out.emplace_back(to[i]);
    }
    return out;
}

void apply_bucket_changes(std::vector<std::string>& buckets, const json::value& changes)
{
    const json::array& list = changes.as_array();
    for (std::size_t i = 0; i + 1 < list.size(); i += 2)
        buckets.at(list[i].to_number<std::size_t>()) = std::string{list[i + 1].as_string()};
}

} // namespace

std::string render_head(const head_record& head)
{
    json::array history;
    for (const history_entry& entry : head.history)
        history.push_back(to_json(entry));
    const json::object object{{"deployment", head.manifest.deployment},
                              {"routes", to_json(head.manifest.routes)},
                              {"pools", to_json(head.manifest.pools)},
                              {"history", std::move(history)}};
    return json::serialize(object);
}

result<head_record> parse_head(std::string_view text)
{
    const error malformed{error_kind::protocol, "the configuration's head record does not parse",
                          "see who else writes under this deployment's keys"};
    boost::system::error_code failed;
    const json::value value = json::parse(text, failed);
    if (failed)
        return malformed;
    try {
        const json::object& object = value.as_object();
        head_record head;
        head.manifest = {string_field(object, "deployment"), to_strings(object.at("routes")),
                         to_strings(object.at("pools"))};
        for (const json::value& entry : object.at("history").as_array())
            head.history.push_back(parse_history_entry(entry));
        if (head.history.empty() || head.revision() <= config_revision{0})
            return malformed;
        return head;
    }
    catch (const std::exception&) { // a field is missing or of another type
        return malformed;
    }
}

std::string render_delta(const head_record& from, const head_record& to)
{
    const bool same_buckets = from.manifest.routes.size() == to.manifest.routes.size() &&
                              from.manifest.pools.size() == to.manifest.pools.size();
    if (!same_buckets)
        return {};
    json::array history;
    for (const history_entry& entry : to.history)
        history.push_back(to_json(entry));
    const json::object object{{"base", from.revision().value()},
                              {"routes", changed_buckets(from.manifest.routes, to.manifest.routes)},
                              {"pools", changed_buckets(from.manifest.pools, to.manifest.pools)},
                              {"history", std::move(history)},
                              {"check", manifest_checksum(to.manifest)}};
    return json::serialize(object);
}

result<head_record> apply_delta(const head_record& from, std::string_view text)
{
    const error mismatch{error_kind::protocol,
                         "the delta from a peer does not apply to the installed head",
                         "no action is needed; the head is requested again"};
    boost::system::error_code failed;
    const json::value value = json::parse(text, failed);
    if (failed)
        return mismatch;
    try {
        const json::object& object = value.as_object();
        if (object.at("base").to_number<std::int64_t>() != from.revision().value())
            return mismatch;
        head_record head{from.manifest, {}};
        apply_bucket_changes(head.manifest.routes, object.at("routes"));
        apply_bucket_changes(head.manifest.pools, object.at("pools"));
        for (const json::value& entry : object.at("history").as_array())
            head.history.push_back(parse_history_entry(entry));
        const bool valid = !head.history.empty() && head.revision() > from.revision() &&
                           manifest_checksum(head.manifest) == string_field(object, "check");
        if (!valid)
            return mismatch;
        return head;
    }
    catch (const std::exception&)
    { // a field is missing or of another type, or a bucket number is too high
        return mismatch;
    }
}

std::string config_keys::revision(config_revision revision) const
{
    std::string digits = std::to_string(revision.value());
    if (digits.size() < revision_digits)
        digits.insert(0, revision_digits - digits.size(), '0');
    return revisions() + digits;
}

} // namespace jaynotch
