// JSON encoding of claim records. The body of a stored answer may hold arbitrary bytes, which JSON
// text can't represent, so it is encoded as base64.
#include "routing/claim_record.h"

#include <boost/json.hpp>

namespace jaynotch {

namespace {

error malformed()
{
    return {error_kind::protocol, "malformed claim record",
            "inspect the key in the key-value service; another program writes under claim/"};
}

std::optional<std::string> text_field(const boost::json::object& record, std::string_view name)
{
    const boost::json::value* found = record.if_contains(name);
    if (found == nullptr || !found->is_string())
        return std::nullopt;
    return std::string{found->get_string()};
}

result<std::optional<stored_answer>> parse_answer(const boost::json::object& record)
{
    const boost::json::value* found = record.if_contains("answer");
    if (found == nullptr)
        return std::optional<stored_answer>{};
    if (!found->is_object())
        return malformed();
    const boost::json::object& fields = found->get_object();
    const boost::json::value* status = fields.if_contains("status");
    const auto content_type = text_field(fields, "content_type");
    const auto encoded = text_field(fields, "body");
    if (status == nullptr || !status->is_int64() || !content_type || !encoded)
        return malformed();
    constexpr std::int64_t lowest_status = 100;
    constexpr std::int64_t highest_status = 999;
    if (status->get_int64() < lowest_status || status->get_int64() > highest_status)
        return malformed();
    auto body = base64_decode(*encoded);
    if (!body)
        return malformed();
    return std::optional{stored_answer{static_cast<std::uint32_t>(status->get_int64()),
                                       *content_type, std::move(body).value()}};
}

} // namespace

std::string to_json(const claim_record& record)
{
    boost::json::object fields{{"claimant", record.claimant},
                               {"body_digest", record.body_digest},
                               {"progress", to_name(record.progress)}};
    if (record.answer) {
        fields["answer"] = boost::json::object{{"status", record.answer->status},
                                               {"content_type", record.answer->content_type},
                                               {"body", base64_encode(record.answer->body)}};
    }
    return boost::json::serialize(fields);
}

result<claim_record> parse_claim_record(std::string_view text)
{
    boost::system::error_code failed;
    const boost::json::value parsed = boost::json::parse(text, failed);
    if (failed || !parsed.is_object())
        return malformed();
    const boost::json::object& fields = parsed.get_object();
    const auto claimant = text_field(fields, "claimant");
    const auto body_digest = text_field(fields, "body_digest");
    const auto progress_name = text_field(fields, "progress");
    if (!claimant || !body_digest || !progress_name)
        return malformed();
    const auto progress = from_name<claim_progress>(*progress_name);
    if (!progress)
        return malformed();
    BOOST_OUTCOME_TRY(auto answer, parse_answer(fields));
    return claim_record{*claimant, *body_digest, *progress, std::move(answer)};
}

std::string claim_key(std::string_view deployment, const workspace_id& workspace,
                      std::string_view idempotency_key)
{
    std::string named{workspace.value()};
    named += '\0'; // neither part can contain it, so different pairs give different texts
    named += idempotency_key;
    std::string key = "/jaynotch/";
    key += deployment;
    key += "/claim/";
    key += content_digest(named);
    return key;
}

} // namespace jaynotch
