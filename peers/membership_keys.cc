// Conversion of key requests and replies to and from frames. key_relay.cc processes them.
#include "peers/membership.h"

namespace jaynotch {

namespace {

/// Longer times without an outage are not believed.
constexpr std::chrono::milliseconds max_store_steady = std::chrono::hours{24 * 365};

std::int64_t in_milliseconds(duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

std::int32_t clamp_to_i32(std::int64_t value)
{
    return static_cast<std::int32_t>(
        std::min<std::int64_t>(value, std::numeric_limits<std::int32_t>::max()));
}

std::optional<store_record> store_from_wire(const wire::key_reply& received)
{
    const std::chrono::milliseconds steady{received.store_steady_ms};
    const std::chrono::milliseconds heard{received.store_heard_ms};
    const bool known = received.__isset.store_steady_ms && received.__isset.store_heard_ms;
    if (!known || heard.count() < 0 || steady < heard || steady > max_store_steady)
        return std::nullopt;
    return store_record{steady, heard};
}

wire::key_request to_wire(const key_request& request)
{
    wire::key_request out;
    for (const known_key& known : request.known) {
        wire::known_key item;
        item.key = static_cast<std::int32_t>(known.key);
        item.revision = known.revision;
        out.known.push_back(item);
    }
    std::vector<std::int32_t> wanted;
    for (const std::uint32_t key : request.wanted)
        wanted.push_back(static_cast<std::int32_t>(key));
    if (!wanted.empty())
        out.__set_wanted(wanted);
    return out;
}

key_request from_wire(const wire::key_request& received)
{
    key_request request;
    for (const wire::known_key& known : received.known)
        request.known.push_back({static_cast<std::uint32_t>(known.key), known.revision});
    for (const std::int32_t key : received.wanted)
        request.wanted.push_back(static_cast<std::uint32_t>(key));
    return request;
}

wire::key_reply to_wire(const key_reply& reply)
{
    wire::key_reply out;
    for (const relayed_key& entry : reply.entries) {
        wire::key_value item;
        item.key = entry.key;
        item.revision = entry.revision;
        item.value = entry.value;
        out.entries.push_back(std::move(item));
    }
    if (reply.push_number)
        out.__set_push_number(*reply.push_number);
    if (reply.complete)
        out.__set_complete(true);
    if (reply.last_push)
        out.__set_last_push(*reply.last_push);
    for (const node_id& node : reply.forward_to)
        out.forward_to.push_back(node.value());
    out.__isset.forward_to = !out.forward_to.empty();
    if (reply.origin)
        out.__set_origin(reply.origin->value());
    if (reply.store_age)
        out.__set_store_age_ms(clamp_to_i32(in_milliseconds(*reply.store_age)));
    if (reply.store) {
        out.__set_store_steady_ms(in_milliseconds(reply.store->steady));
        out.__set_store_heard_ms(in_milliseconds(reply.store->heard));
    }
    if (reply.reading_took)
        out.__set_read_ms(clamp_to_i32(in_milliseconds(*reply.reading_took)));
    return out;
}

key_reply from_wire(const wire::key_reply& received)
{
    key_reply reply;
    for (const wire::key_value& item : received.entries)
        reply.entries.push_back({item.key, item.revision, item.value});
    if (received.__isset.store_age_ms && received.store_age_ms >= 0)
        reply.store_age = std::chrono::milliseconds{received.store_age_ms};
    reply.store = store_from_wire(received);
    if (received.__isset.read_ms && received.read_ms >= 0)
        reply.reading_took = std::chrono::milliseconds{received.read_ms};
    if (received.__isset.push_number)
        reply.push_number = received.push_number;
    reply.complete = received.__isset.complete && received.complete;
    if (received.__isset.last_push)
        reply.last_push = received.last_push;
    for (const std::string& node : received.forward_to)
        reply.forward_to.emplace_back(node);
    if (received.__isset.origin)
        reply.origin = node_id{received.origin};
    return reply;
}

} // namespace

void membership_core::handle_keys(duration delay, const wire::frame& frame,
                                  membership_commands& out)
{
    const node_id sender{frame.sender};
    if (frame.__isset.keys_wanted)
        out.emplace_back(key_message{sender, from_wire(frame.keys_wanted), delay});
    if (frame.__isset.keys)
        out.emplace_back(key_message{sender, from_wire(frame.keys), delay});
}

membership_commands membership_core::send_keys(time_point now, const node_id& to,
                                               const key_body& body, frame_priority priority)
{
    membership_commands out;
    const member* known = m_members.find(to);
    if (known == nullptr)
        return out;
    const member peer = *known;
    if (const auto* request = std::get_if<key_request>(&body)) {
        wire::frame frame = make_frame(now, wire::frame_kind::key_request);
        frame.__set_keys_wanted(to_wire(*request));
        send(now, peer, frame, out, priority);
    }
    if (const auto* reply = std::get_if<key_reply>(&body)) {
        wire::frame frame = make_frame(now, wire::frame_kind::key_reply);
        frame.__set_keys(to_wire(*reply));
        send(now, peer, frame, out, priority);
    }
    return out;
}

} // namespace jaynotch
