// The two tables as content-addressed pages, so that little data is transferred if a row changes.
//
//   paged_tables paged = to_pages(tables).value();  // a manifest and the pages it references
//   result<configuration> back = from_pages(paged.manifest, pages);
//
// Rows are distributed over buckets by the hash of their names. A page contains the rows of one
// bucket as canonical JSON and is identified by the digest of its bytes. The number of buckets is a
// power of two that grows with the table, so it seldom changes.
#pragma once

#include "tables/merge.h"

#include <span>
#include <string>
#include <vector>

namespace jaynotch {

/// Length of a page's digest in hexadecimal digits: 128 bits of SHA-256.
inline constexpr std::size_t page_digest_length = 32;
/// Maximum size of a page in bytes; well below the key-value service's limit of one megabyte.
inline constexpr std::size_t max_page_bytes = 512U << 10U;
/// Target number of rows per page.
inline constexpr std::size_t rows_per_page = 8;

/// The rows of one bucket as canonical JSON.
struct table_page {
    std::string digest;
    std::string bytes;

    friend bool operator==(const table_page&, const table_page&) = default;
};

/// The pages of both tables. An empty digest stands for a bucket without rows.
struct page_manifest {
    std::string deployment;
    std::vector<std::string> routes; ///< digest of each bucket
    std::vector<std::string> pools;

    friend bool operator==(const page_manifest&, const page_manifest&) = default;
};

struct paged_tables {
    page_manifest manifest;
    std::vector<table_page> pages; ///< sorted by digest, without duplicates
};

/// Splits the tables into pages; an error if a page would exceed max_page_bytes.
result<paged_tables> to_pages(const configuration& tables);

/// Restores and checks the tables. Each page is verified against its digest; the error names a page
/// that is missing, forged or malformed. The revision is left at 0.
result<configuration> from_pages(const page_manifest& manifest, std::span<const table_page> pages);

/// The digests of all pages that `manifest` references, sorted and without duplicates.
std::vector<std::string> referenced_digests(const page_manifest& manifest);

/// The digest of a page with these bytes.
std::string page_digest(std::string_view bytes);

} // namespace jaynotch
