// Parses claim records. Anyone with write access to the key-value service can store arbitrary bytes
// under a claim key.
#include "routing/claim_record.h"

#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view text{reinterpret_cast<const char*>(data), size};
    const auto parsed = jaynotch::parse_claim_record(text);
    if (!parsed)
        return 0;
    // A parsed record must survive a round trip through its JSON text.
    const auto again = jaynotch::parse_claim_record(jaynotch::to_json(parsed.value()));
    if (!again || !(again.value() == parsed.value()))
        std::abort();
    return 0;
}
