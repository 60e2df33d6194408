// The two tables as content-addressed pages, so that a changed row moves little.
//
//   paged_tables paged = to_pages(tables);          // a manifest and the pages it names
//   result<configuration> back = from_pages(paged.manifest, pages);
//
// Rows are spread over a fixed number of buckets by the hash of their names; a page is the rows of
// one bucket as canonical JSON, named by the digest of its bytes. The number of buckets grows with
// the table by powers of two, so it seldom changes.
#pragma once

#include "tables/merge.h"

#include <span>
#include <string>
#include <vector>

namespace jaynotch {

/// Hexadecimal digits of a page's name: 128 bits of SHA-256.
inline constexpr std::size_t page_digest_length = 32;
/// Largest page, bytes; well under the key-value service's megabyte.
inline constexpr std::size_t max_page_bytes = 512U << 10U;
/// Rows a page aims at.
inline constexpr std::size_t rows_per_page = 8;

/// Some rows of one table.
struct table_page {
    std::string digest;
    std::string bytes;

    friend bool operator==(const table_page&, const table_page&) = default;
};

/// Which pages make up the tables. An empty digest stands for a bucket without rows.
struct page_manifest {
    std::string deployment;
    std::vector<std::string> routes; ///< digest of each bucket
    std::vector<std::string> pools;

    friend bool operator==(const page_manifest&, const page_manifest&) = default;
};

struct paged_tables {
    page_manifest manifest;
    std::vector<table_page> pages; ///< by digest, each once
};

/// Cuts the tables into pages; an error if a page would exceed max_page_bytes.
result<paged_tables> to_pages(const configuration& tables);

/// Puts the tables together again. Every page is checked against its digest; an error names a page
/// that is missing, forged or does not parse. The revision is left at 0.
result<configuration> from_pages(const page_manifest& manifest, std::span<const table_page> pages);

/// The digests that `manifest` names, each once, sorted.
std::vector<std::string> referenced_digests(const page_manifest& manifest);

/// The name that these bytes have as a page.
std::string page_digest(std::string_view bytes);

} // namespace jaynotch
