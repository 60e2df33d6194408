// Why a change is accepted once, though replies may be lost and calls may take effect late:
//
// Every try of one change swaps the same key with a compare on the revision that it read, and
// leaves its change id in the head's history. After a try whose reply was lost there are two cases.
// It took effect: the next read finds the id, and the change is reported as accepted. It has not
// (yet): the next try compares the same head; whichever of the two reaches the service first moves
// the head, and the other's compare fails for good. So trying again can't accept it twice, and the
// client may do so too, with the same id.
#include "config/store.h"

#include "config/collect.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace jaynotch {

namespace {

constexpr std::size_t most_tries = 8;
constexpr std::size_t single_reads = 8; ///< above it, all pages are read with one call
constexpr duration first_pause = std::chrono::milliseconds{50};

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

awaitable<void> config_store::pause(std::size_t attempt)
{
    timer wait{m_io, first_pause * static_cast<std::int64_t>(attempt + 1)};
    co_await wait.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

awaitable<result<read_back>> config_store::read()
{
    const auto read = co_await m_kv.get(m_keys.head());
    if (!read)
        co_return read.error();
    read_back out;
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
config_store::tables_of(const head_record& head, const std::map<std::string, std::string>& known)
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
    if (missing.size() > single_reads) {
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

awaitable<result<head_record>> config_store::record_of(config_revision revision)
{
    const auto read = co_await m_kv.get(m_keys.revision(revision));
    if (!read)
        co_return read.error();
    if (!read.value().entry)
        co_return not_kept(revision);
    co_return parse_head(read.value().entry->value);
}

awaitable<result<configuration>>
config_store::base_tables(config_revision base, const head_record& head,
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
    const auto record = co_await record_of(base);
    if (!record && record.error().kind == error_kind::not_found) {
        co_return error{error_kind::conflict,
                        "the edit is based on revision " + std::to_string(base.value()) +
                            ", which is not kept any more; the newest is " +
                            std::to_string(head.revision().value()),
                        "get the newest tables, make the edit on them and apply again"};
    }
    if (!record)
        co_return record.error();
    co_return co_await tables_of(record.value(), known);
}

awaitable<result<standing>> config_store::stand(config_revision base,
                                                const std::map<std::string, std::string>& known)
{
    auto read_head = co_await read();
    if (!read_head)
        co_return read_head.error();
    standing seen;
    seen.head_mod_revision = read_head.value().mod_revision;
    seen.head = std::move(read_head.value().head);
    if (seen.head_mod_revision == 0 && base > config_revision{0}) {
        co_return error{error_kind::invalid_argument,
                        "the edit is based on revision " + std::to_string(base.value()) +
                            ", but this deployment has none yet",
                        "apply the first tables with base revision 0"};
    }
    if (seen.head_mod_revision == 0)
        co_return seen;
    auto current = co_await tables_of(seen.head, known);
    if (!current)
        co_return current.error();
    seen.current = std::move(current).value();
    co_return seen;
}

awaitable<result<kv_outcome>> config_store::carry_out(const acceptance& plan)
{
    for (const kv_transaction& part : plan.prepare) {
        const auto done = co_await m_kv.transact(part);
        if (!done)
            co_return done.error();
    }
    co_return co_await m_kv.transact(plan.swap);
}

awaitable<result<swapped_change>>
config_store::swap_in(config_revision base, const edit& wanted,
                      const std::map<std::string, std::string>& known)
{
    error last{error_kind::unavailable, "the configuration's head kept changing", "apply again"};
    bool in_doubt = false;
    for (std::size_t attempt = 0; attempt < most_tries; ++attempt) {
        if (attempt > 0)
            co_await pause(attempt);
        auto seen = co_await stand(base, known);
        if (!seen) {
            last = seen.error();
            if (last.kind == error_kind::invalid_argument || last.kind == error_kind::invalid_table)
                co_return last;
            continue;
        }
        // An earlier try of ours, or of the client's, has been accepted.
        if (const auto made = find_change(seen.value().head, wanted.made_by.change_id)) {
            swapped_change out;
            out.change = *made;
            out.change.repeated = !in_doubt;
            co_return out;
        }
        if (seen.value().head_mod_revision != 0) {
            auto original =
                co_await base_tables(base, seen.value().head, seen.value().current, known);
            if (!original) {
                last = original.error();
                if (last.kind == error_kind::unavailable ||
                    last.kind == error_kind::deadline_exceeded)
                    continue;
                co_return last;
            }
            seen.value().base = std::move(original).value();
        }
        auto plan = plan_acceptance(m_keys, seen.value(), wanted);
        if (!plan)
            co_return plan.error();
        swapped_change out;
        out.change = {plan.value().next.revision(),
                      wanted.made_by.change_id,
                      wanted.made_by.time_ms,
                      plan.value().merged,
                      false,
                      plan.value().unchanged};
        if (plan.value().unchanged) {
            out.change.revision = seen.value().head.revision();
            co_return out;
        }
        const auto done = co_await carry_out(plan.value());
        if (!done) {
            last = done.error();
            in_doubt = in_doubt || may_have_taken_effect(last);
            continue;
        }
        if (!done.value().succeeded)
            continue; // another editor was first, or an earlier try of ours
        out.head_text = render_head(plan.value().next);
        out.pages = std::move(plan.value().new_pages);
        co_return out;
    }
    if (in_doubt) {
        co_return error{error_kind::unknown_outcome,
                        "the change may have been accepted: " + last.message,
                        "apply again with the same change id; it is not accepted twice"};
    }
    co_return last;
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
            break; // the head has moved; the next collection sees it
        deleted += count;
    }
    co_return deleted;
}

} // namespace jaynotch
