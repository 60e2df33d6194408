// A change is accepted at most once, although replies may be lost and calls may take effect late.
//
// Every attempt swaps the head key with a compare on the mod_revision that it read, and writes the
// change id into the head's history. If the reply of an attempt is lost, there are two cases. If it
// took effect, the next read finds the change id and the change is reported as accepted. If it has
// not taken effect (yet), the next attempt compares with the same mod_revision; whichever of the
// two is executed first changes the head, and the compare of the other fails. So a retry can't
// accept the change twice, and a client may also retry with the same id.
#include "config/store.h"

#include "config/collect.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace jaynotch {

namespace {

constexpr std::size_t max_attempts = 8;
constexpr std::size_t max_single_page_reads = 8; ///< if more are missing, one call reads all pages
constexpr duration backoff_step = std::chrono::milliseconds{50};

bool may_have_taken_effect(const error& failure)
{
    return failure.kind == error_kind::unknown_outcome ||
           failure.kind == error_kind::deadline_exceeded;
}

error not_kept(config_revision revision)
{
    return {error_kind::not_found, "revision " + std::to_string(revision.value()) + " is not kept",
            "see `jaynotch history` for those that are"};
}

} // namespace

config_store::config_store(boost::asio::io_context& io, kv_service& kv, config_keys keys,
                           std::string deployment)
    : m_io{io}, m_kv{kv}, m_keys{std::move(keys)}, m_deployment{std::move(deployment)}
{}

awaitable<void> config_store::backoff(std::size_t attempt)
{
    timer wait{m_io, backoff_step * static_cast<std::int64_t>(attempt + 1)};
    co_await wait.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

awaitable<result<stored_head>> config_store::read()
{
    const auto read = co_await m_kv.get(m_keys.head());
    if (!read)
        co_return read.error();
    stored_head out;
    if (!read.value().entry)
        co_return out;
    out.mod_revision = read.value().mod_revision();
    auto parsed = parse_head(read.value().entry->value);
    if (!parsed)
        co_return parsed.error();
    out.head = std::move(parsed).value();
    co_return out;
}

awaitable<result<configuration>>
config_store::read_tables(const head_record& head, const std::map<std::string, std::string>& known)
{
    std::vector<table_page> pages;
    std::vector<std::string> missing;
    for (const std::string& digest : referenced_digests(head.manifest)) {
        const auto held = known.find(digest);
        if (held != known.end())
            pages.push_back({digest, held->second});
        else
            missing.push_back(digest);
    }
    if (missing.size() > max_single_page_reads) {
        const auto all = co_await m_kv.get_prefix(m_keys.pages());
        if (!all)
            co_return all.error();
        for (const kv_entry& entry : all.value().entries)
            pages.push_back({entry.key.substr(m_keys.pages().size()), entry.value});
        missing.clear();
    }
    for (const std::string& digest : missing) {
        const auto page = co_await m_kv.get(m_keys.page(digest));
        if (!page)
            co_return page.error();
        if (page.value().entry)
            pages.push_back({digest, page.value().entry->value});
    }
    auto tables = from_pages(head.manifest, pages);
    if (!tables)
        co_return tables.error();
    tables.value().revision = head.revision();
    co_return tables;
}

awaitable<result<head_record>> config_store::read_revision(config_revision revision)
{
    const auto read = co_await m_kv.get(m_keys.revision(revision));
    if (!read)
        co_return read.error();
    if (!read.value().entry)
        co_return not_kept(revision);
    co_return parse_head(read.value().entry->value);
}

awaitable<result<configuration>>
config_store::read_base_tables(config_revision base, const head_record& head,
                               const configuration& current,
                               const std::map<std::string, std::string>& known)
{
    if (base == head.revision())
        co_return current;
    if (base > head.revision()) {
        co_return error{error_kind::invalid_argument,
                        "the edit is based on revision " + std::to_string(base.value()) +
                            ", but the newest is " + std::to_string(head.revision().value()),
                        "see that it goes to the right deployment; get the tables and edit them"};
    }
    configuration empty;
    empty.deployment = m_deployment;
    if (base == config_revision{0})
        co_return empty;
    const auto record = co_await read_revision(base);
    if (!record && record.error().kind == error_kind::not_found) {
        co_return error{error_kind::conflict,
                        "the edit is based on revision " + std::to_string(base.value()) +
                            ", which is not kept any more; the newest is " +
                            std::to_string(head.revision().value()),
                        "get the newest tables, make the edit on them and apply again"};
    }
    if (!record)
        co_return record.error();
    co_return co_await read_tables(record.value(), known);
}

awaitable<result<stored_state>>
config_store::read_state(config_revision base, const std::map<std::string, std::string>& known)
{
    auto read_head = co_await read();
    if (!read_head)
        co_return read_head.error();
    stored_state stored;
    stored.head_mod_revision = read_head.value().mod_revision;
    stored.head = std::move(read_head.value().head);
    if (stored.head_mod_revision == 0 && base > config_revision{0}) {
        co_return error{error_kind::invalid_argument,
                        "the edit is based on revision " + std::to_string(base.value()) +
                            ", but this deployment has none yet",
                        "apply the first tables with base revision 0"};
    }
    if (stored.head_mod_revision == 0)
        co_return stored;
    auto current = co_await read_tables(stored.head, known);
    if (!current)
        co_return current.error();
    stored.current = std::move(current).value();
    co_return stored;
}

awaitable<result<kv_outcome>> config_store::execute(const acceptance_plan& plan)
{
    for (const kv_transaction& part : plan.prepare) {
        const auto done = co_await m_kv.transact(part);
        if (!done)
            co_return done.error();
    }
    co_return co_await m_kv.transact(plan.swap);
}

awaitable<result<committed_change>>
config_store::commit_edit(config_revision base, const edit& wanted,
                          const std::map<std::string, std::string>& known)
{
    error last_error{error_kind::unavailable, "the configuration's head kept changing",
                     "apply again"};
    bool outcome_unknown = false;
    for (std::size_t attempt = 0; attempt < max_attempts; ++attempt) {
        if (attempt > 0)
            co_await backoff(attempt);
        auto stored = co_await read_state(base, known);
        if (!stored) {
            last_error = stored.error();
            if (last_error.kind == error_kind::invalid_argument ||
                last_error.kind == error_kind::invalid_table)
                co_return last_error;
            continue;
        }
        // An earlier attempt of this call, or of the client, was accepted.
        if (const auto accepted = find_change(stored.value().head, wanted.metadata.change_id)) {
            committed_change out;
            out.change = *accepted;
            out.change.repeated = !outcome_unknown;
            co_return out;
        }
        if (stored.value().head_mod_revision != 0) {
            auto base_configuration =
                co_await read_base_tables(base, stored.value().head, stored.value().current, known);
            if (!base_configuration) {
                last_error = base_configuration.error();
                if (last_error.kind == error_kind::unavailable ||
                    last_error.kind == error_kind::deadline_exceeded)
                    continue;
                co_return last_error;
            }
            stored.value().base = std::move(base_configuration).value();
        }
        auto plan = plan_acceptance(m_keys, stored.value(), wanted);
        if (!plan)
            co_return plan.error();
        committed_change out;
        out.change = {plan.value().next_head.revision(),
                      wanted.metadata.change_id,
                      wanted.metadata.time_ms,
                      plan.value().merged,
                      false,
                      plan.value().unchanged};
        if (plan.value().unchanged) {
            out.change.revision = stored.value().head.revision();
            co_return out;
        }
        const auto done = co_await execute(plan.value());
        if (!done) {
            last_error = done.error();
            outcome_unknown = outcome_unknown || may_have_taken_effect(last_error);
            continue;
        }
        if (!done.value().succeeded)
            continue; // another editor, or an earlier attempt of this call, changed the head
        out.head_text = render_head(plan.value().next_head);
        out.pages = std::move(plan.value().new_pages);
        co_return out;
    }
    if (outcome_unknown) {
        co_return error{error_kind::unknown_outcome,
                        "the change may have been accepted: " + last_error.message,
                        "apply again with the same change id; it is not accepted twice"};
    }
    co_return last_error;
}

awaitable<result<std::size_t>> config_store::collect()
{
    const auto all = co_await m_kv.get_prefix(m_keys.all());
    if (!all)
        co_return all.error();
    std::size_t deleted = 0;
    for (kv_transaction& part : plan_collection(m_keys, all.value().entries)) {
        const std::size_t count = part.then.size();
        const auto done = co_await m_kv.transact(std::move(part));
        if (!done)
            co_return done.error();
        if (!done.value().succeeded)
            break; // the head changed; the next collection reads it again
        deleted += count;
    }
    co_return deleted;
}

} // namespace jaynotch
