// libFuzzer target: reads arbitrary bytes as the two tables (split at the first NUL) and as a page.
// Accepted tables must be the same after rendering and parsing, and after paging.
#include "tables/pages.h"
#include "tables/parse.h"

#include <cstdlib>

using namespace jaynotch;

namespace {

void require(bool condition)
{
    if (!condition)
        std::abort();
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view text{reinterpret_cast<const char*>(data), size};
    const std::size_t separator = std::min(text.find('\0'), text.size());
    const std::string_view routes = text.substr(0, separator);
    const std::string_view pools =
        separator < size ? text.substr(separator + 1) : std::string_view{};

    const auto tables = parse_tables(routes, pools);
    if (tables) {
        const auto reparsed =
            parse_tables(render_routes(tables.value()), render_pools(tables.value()));
        require(reparsed && reparsed.value() == tables.value());
        const auto paged = to_pages(tables.value());
        require(paged &&
                from_pages(paged.value().manifest, paged.value().pages).value() == tables.value());
    }
    const table_page page{page_digest(text), std::string{text}};
    const page_manifest manifest{"d", {page.digest}, {}};
    (void)from_pages(manifest, std::vector{page});
    return 0;
}
