// The value of a claim key may have been written by anybody who has the key-value service's key.
#include "routing/claim_record.h"

#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view text{reinterpret_cast<const char*>(data), size};
    const auto parsed = jaynotch::parse_claim_record(text);
    if (!parsed)
        return 0;
    // What parses must come back the same from its own text.
    const auto again = jaynotch::parse_claim_record(jaynotch::to_json(parsed.value()));
    if (!again || !(again.value() == parsed.value()))
        std::abort();
    return 0;
}
