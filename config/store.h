// The configuration as it stands in the key-value service: reading tables back, and accepting.
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

/// A change that was swapped in, and what it wrote.
struct committed_change {
    accepted_change change;
    std::string head_text;         ///< empty if nothing was written now
    std::vector<table_page> pages; ///< those that are new
};

/// The head as read, with what a compare must name.
struct stored_head {
    std::int64_t mod_revision = 0;
    head_record head; ///< empty history if there is none
};

class config_store {
public:
    config_store(boost::asio::io_context& io, kv_service& kv, config_keys keys,
                 std::string deployment);

    boost::asio::awaitable<result<stored_head>> read();
    /// The tables that a manifest names; `known` pages are not read again.
    boost::asio::awaitable<result<configuration>>
    read_tables(const head_record& head, const std::map<std::string, std::string>& known);
    /// The record of a revision that is still kept.
    boost::asio::awaitable<result<head_record>> read_revision(config_revision revision);
    /// Swaps the edit in; `base` is the revision that it was made from.
    boost::asio::awaitable<result<committed_change>>
    commit_edit(config_revision base, const edit& wanted,
                const std::map<std::string, std::string>& known);
    /// Deletes what no kept revision needs; how many keys.
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
