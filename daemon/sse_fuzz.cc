// Feeds arbitrary bytes to the splitter, as an engine could send them, in pieces of arbitrary size.
// No event may be empty, and no parser of events may crash.
#include "daemon/sse.h"

#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    if (size < 2)
        return 0;
    const std::size_t piece = data[0] % 31 + 1;
    std::string_view rest{reinterpret_cast<const char*>(data) + 1, size - 1};
    jaynotch::sse_splitter splitter{4096};
    while (!rest.empty()) {
        const std::size_t length = std::min(piece, rest.size());
        if (!splitter.feed(rest.substr(0, length)))
            return 0;
        rest.remove_prefix(length);
        while (const auto event = splitter.next()) {
            if (event->empty())
                std::abort();
            (void)jaynotch::read_chunk(jaynotch::sse_data(*event));
            (void)jaynotch::is_done_event(*event);
        }
    }
    return 0;
}
