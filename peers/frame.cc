// Encodes frames in Thrift's compact protocol in a memory buffer. Decoding is safe for arbitrary
// input: Thrift's limits on strings, containers and the message size bound every allocation, and
// names are then checked against max_frame_name.
#include "peers/frame.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>

namespace jaynotch {

namespace {

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
using compact_protocol = TCompactProtocolT<TMemoryBuffer>;

error invalid_frame(std::string what)
{
    return {error_kind::protocol, "invalid peer frame: " + std::move(what),
            "make sure that all nodes run compatible versions"};
}

bool name_fits(const std::string& name)
{
    return name.size() <= max_frame_name;
}

bool names_fit(const wire::frame& frame)
{
    const auto member_fits = [](const wire::member_update& update) {
        return name_fits(update.node) && name_fits(update.failure_domain) &&
               name_fits(update.address);
    };
    const auto server_fits = [](const wire::leaving& item) { return name_fits(item.server); };
    const auto limit_fits = [](const wire::server_limit& item) { return name_fits(item.server); };
    const auto key_fits = [](const wire::key_value& item) { return name_fits(item.key); };
    return name_fits(frame.sender) && name_fits(frame.target) && name_fits(frame.subject) &&
           name_fits(frame.question.vm) && name_fits(frame.question.address) &&
           name_fits(frame.opinion.vm) && name_fits(frame.runner.vm) &&
           name_fits(frame.runner.group) && name_fits(frame.runner.phase) &&
           name_fits(frame.runner.model) && name_fits(frame.store_asked.failure_domain) &&
           name_fits(frame.store_told.failure_domain) && name_fits(frame.silent.vm) &&
           std::all_of(frame.members.begin(), frame.members.end(), member_fits) &&
           std::all_of(frame.leavings.begin(), frame.leavings.end(), server_fits) &&
           std::all_of(frame.limits.begin(), frame.limits.end(), limit_fits) &&
           std::all_of(frame.keys.entries.begin(), frame.keys.entries.end(), key_fits) &&
           std::all_of(frame.keys.forward_to.begin(), frame.keys.forward_to.end(), name_fits) &&
           name_fits(frame.keys.origin) &&
           std::all_of(frame.request.digests.begin(), frame.request.digests.end(), name_fits);
}

} // namespace

std::string encode_frame(const wire::frame& frame)
{
    const auto buffer = std::make_shared<TMemoryBuffer>();
    compact_protocol protocol{buffer};
    frame.write(&protocol);
    return buffer->getBufferAsString();
}

result<wire::frame> decode_frame(std::string_view bytes)
{
    if (bytes.empty())
        return invalid_frame("empty");
    if (bytes.size() > max_frame_bytes)
        return invalid_frame("longer than " + std::to_string(max_frame_bytes) + " bytes");
    try {
        const auto limits = std::make_shared<TConfiguration>(static_cast<int>(max_frame_bytes));
        // TMemoryBuffer takes a non-const pointer, but doesn't write to the buffer with OBSERVE.
        auto* data = reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data()));
        const auto buffer = std::make_shared<TMemoryBuffer>(
            data, static_cast<std::uint32_t>(bytes.size()), TMemoryBuffer::OBSERVE, limits);
        compact_protocol protocol{buffer, static_cast<std::int32_t>(max_frame_bytes),
                                  static_cast<std::int32_t>(max_frame_items)};
        wire::frame frame;
        frame.read(&protocol);
        if (buffer->available_read() != 0)
            return invalid_frame("trailing bytes");
        if (frame.sender.empty() || !names_fit(frame))
            return invalid_frame("a name is empty or too long");
        return frame;
    }
    catch (const apache::thrift::TException& failure) {
        return invalid_frame(failure.what());
    }
}

} // namespace jaynotch
