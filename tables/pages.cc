// A row's bucket is the hash of its name modulo the number of buckets, a power of two chosen for
// about rows_per_page rows per page. Changing a row changes the bytes, and so the digest, of
// exactly one page, unless the number of buckets changes. Digests are verified when pages are read,
// so that a truncated or forged page never becomes part of a table.
#include "tables/pages.h"

#include "tables/check.h"
#include "tables/row_json.h"

#include <algorithm>
#include <bit>
#include <unordered_map>

namespace jaynotch {

namespace {

using page_index = std::unordered_map<std::string_view, const table_page*>;

page_index index_pages(std::span<const table_page> pages)
{
    page_index index;
    for (const table_page& page : pages)
        index.emplace(page.digest, &page);
    return index;
}

template <class Row>
result<std::vector<std::string>> split_into_pages(const std::vector<Row>& rows,
                                                  std::vector<table_page>& pages)
{
    const std::size_t buckets = std::bit_ceil(rows.size() / rows_per_page + 1);
    std::vector<boost::json::array> contents(buckets);
    for (const Row& row : rows)
        contents[hash64(row.name.value()) % buckets].push_back(json_writer{}(row));

    std::vector<std::string> digests;
    for (const boost::json::array& content : contents) {
        if (content.empty()) {
            digests.emplace_back();
            continue;
        }
        std::string bytes = boost::json::serialize(content);
        if (bytes.size() > max_page_bytes)
            return error{error_kind::too_large,
                         "a page of the tables has " + std::to_string(bytes.size()) + " bytes",
                         "shorten the longest rows (lists of servers, shares or adapters)"};
        digests.push_back(page_digest(bytes));
        pages.push_back({digests.back(), std::move(bytes)});
    }
    return digests;
}

template <class Row>
result<std::vector<Row>> join_pages(const std::vector<std::string>& digests,
                                    const page_index& pages)
{
    std::vector<Row> rows;
    for (const std::string& digest : digests) {
        if (digest.empty())
            continue;
        const auto found = pages.find(digest);
        if (found == pages.end())
            return error{error_kind::not_found, "page " + digest + " is missing",
                         "fetch it from the platform or a peer"};
        const table_page* page = found->second;
        if (page_digest(page->bytes) != digest)
            return error{error_kind::protocol, "page " + digest + " does not have its digest",
                         "fetch it from another peer"};
        try {
            const boost::json::value parsed = boost::json::parse(page->bytes);
            for (const boost::json::value& each : parsed.as_array()) {
                Row row;
                json_reader{}(each, row);
                rows.push_back(std::move(row));
            }
        }
        catch (const std::exception& failure) {
            return error{error_kind::protocol,
                         "page " + digest + " does not parse: " + failure.what(),
                         "upgrade this node, or apply the tables again"};
        }
    }
    std::sort(rows.begin(), rows.end(), [](const Row& a, const Row& b) { return a.name < b.name; });
    return rows;
}

} // namespace

std::string page_digest(std::string_view bytes)
{
    return content_digest(bytes).substr(0, page_digest_length);
}

result<paged_tables> to_pages(const configuration& tables)
{
    paged_tables paged;
    paged.manifest.deployment = tables.deployment;
    BOOST_OUTCOME_TRY(paged.manifest.routes, split_into_pages(tables.routes, paged.pages));
    BOOST_OUTCOME_TRY(paged.manifest.pools, split_into_pages(tables.pools, paged.pages));
    std::sort(paged.pages.begin(), paged.pages.end(),
              [](const table_page& a, const table_page& b) { return a.digest < b.digest; });
    return paged;
}

result<configuration> from_pages(const page_manifest& manifest, std::span<const table_page> pages)
{
    table_report report;
    report.tables.deployment = manifest.deployment;
    const page_index index = index_pages(pages);
    BOOST_OUTCOME_TRY(report.tables.routes, join_pages<route>(manifest.routes, index));
    BOOST_OUTCOME_TRY(report.tables.pools, join_pages<pool>(manifest.pools, index));
    check_tables(report);
    if (!report.problems.empty())
        return to_error(report.problems);
    return std::move(report.tables);
}

std::vector<std::string> referenced_digests(const page_manifest& manifest)
{
    std::vector<std::string> digests = manifest.routes;
    digests.insert(digests.end(), manifest.pools.begin(), manifest.pools.end());
    std::sort(digests.begin(), digests.end());
    digests.erase(std::unique(digests.begin(), digests.end()), digests.end());
    if (!digests.empty() && digests.front().empty())
        digests.erase(digests.begin());
    return digests;
}

} // namespace jaynotch
