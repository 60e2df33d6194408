// Reads the configuration from the key-value service and commits edits to it.
//
//   config_store store{io, kv, config_keys{prefix}, deployment};
//   result<committed_change> done = co_await store.commit_edit(base, edit, known_pages);
#pragma once

#include "base/base.h"
#include "config/accept.h"
#include "config/head.h"
#include "services/services.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <map>
#include <string>
#include <vector>

namespace jaynotch {

/// The result of an accepted edit, with the head and the pages that were written.
struct committed_change {
    accepted_change change;
    std::string head_text;         ///< empty if nothing was written
    std::vector<table_page> pages; ///< pages that the previous head did not reference
};

/// The head, with the mod_revision that a compare-and-swap of it has to name.
struct stored_head {
    std::int64_t mod_revision = 0;
    head_record head; ///< its history is empty if there is no head
};

class config_store {
public:
    config_store(boost::asio::io_context& io, kv_service& kv, config_keys keys,
                 std::string deployment);

    boost::asio::awaitable<result<stored_head>> read();
    /// Assembles the tables of a head. `known` holds pages by digest; the others are read.
    boost::asio::awaitable<result<configuration>>
    read_tables(const head_record& head, const std::map<std::string, std::string>& known);
    /// Reads the record of a kept revision. Errors: not_found if it is not kept.
    boost::asio::awaitable<result<head_record>> read_revision(config_revision revision);
    /// Accepts an edit that was made on revision `base`. Retries if another editor was faster or a
    /// call failed. Errors: conflict, invalid_table, too_large, invalid_argument, unavailable,
    /// unknown_outcome (apply again with the same change id).
    boost::asio::awaitable<result<committed_change>>
    commit_edit(config_revision base, const edit& wanted,
                const std::map<std::string, std::string>& known);
    /// Deletes the keys that no kept revision references; returns how many.
    boost::asio::awaitable<result<std::size_t>> collect();

    [[nodiscard]] const config_keys& keys() const { return m_keys; }

private:
    boost::asio::awaitable<result<stored_state>>
    read_state(config_revision base, const std::map<std::string, std::string>& known);
    boost::asio::awaitable<result<configuration>>
    read_base_tables(config_revision base, const head_record& head, const configuration& current,
                     const std::map<std::string, std::string>& known);
    boost::asio::awaitable<result<kv_outcome>> execute(const acceptance_plan& plan);
    boost::asio::awaitable<void> backoff(std::size_t attempt);

    boost::asio::io_context& m_io;
    kv_service& m_kv;
    config_keys m_keys;
    std::string m_deployment;
};

} // namespace jaynotch
