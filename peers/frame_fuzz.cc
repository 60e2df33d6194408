// Fuzz target: decoding arbitrary bytes terminates and stays within its limits, a decoded frame can
// be encoded and decoded again, and a membership core that receives it keeps its table bounded.
#include "peers/membership.h"

#include <cstdint>
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace jaynotch;
    const std::string_view bytes{reinterpret_cast<const char*>(data), size};
    const result<wire::frame> decoded = decode_frame(bytes);
    if (decoded && !decode_frame(encode_frame(decoded.value())))
        std::abort();

    membership_settings settings;
    settings.deployment = "test";
    settings.self = {node_id{"a"}, failure_domain_id{"d"}, "10.0.0.1:1", 5, 0, member_state::alive};
    membership_core core{settings, random_source{1}};
    const time_point now{std::chrono::hours{1}};
    (void)core.tick(now);
    (void)core.frame_received(now, {}, bytes);
    if (decoded) {
        // Sets the fields that the core checks first, so that the rest of the frame is processed.
        wire::frame ours = decoded.value();
        ours.deployment = static_cast<std::int32_t>(wire_key(settings.deployment));
        ours.__isset.target = false;
        ours.target.clear();
        (void)core.frame_received(now, {}, encode_frame(ours));
        (void)core.tick(now + std::chrono::seconds{1});
    }
    if (core.members().size() > max_members)
        std::abort();
    return 0;
}
