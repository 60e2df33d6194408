// Fuzzes the parsers of the key-value service's messages. Any input must be parsed or refused; a
// parsed transaction must survive rendering and parsing unchanged.
#include "services/services.h"

#include <cstdlib>

using namespace jaynotch;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view body{reinterpret_cast<const char*>(data), size};
    (void)parse_kv_range(body);
    (void)parse_kv_outcome(body);
    (void)parse_kv_grant(body);
    (void)parse_kv_keep_alive(body);
    (void)parse_kv_watch(body);
    const result<kv_transaction> first = parse_kv_transaction(body);
    if (!first)
        return 0;
    const std::string rendered = render_kv_transaction(first.value());
    const result<kv_transaction> second = parse_kv_transaction(rendered);
    if (!second || render_kv_transaction(second.value()) != rendered)
        std::abort();
    kv_store store;
    (void)store.transact(first.value());
    return 0;
}
