#include "daemon/key_relay_driver.h"

namespace jaynotch {

namespace {

/// Of this node's link, for replies to nodes that lack entries.
constexpr double reply_share_of_link = 0.25;

key_relay_settings core_settings(const daemon_settings& settings, std::string name,
                                 const key_relay_hooks& hooks)
{
    key_relay_settings made;
    made.self = settings.node;
    made.name = std::move(name);
    made.is_urgent = hooks.is_urgent;
    made.max_reply_bytes_s =
        std::max(made.max_reply_bytes_s, reply_share_of_link * settings.limits.link_bytes_s);
    return made;
}

} // namespace

key_relay_driver::key_relay_driver(const daemon_settings& settings, peer_service& peers,
                                   std::string name, key_relay_hooks hooks)
    : m_settings{settings}, m_peers{peers}, m_hooks{std::move(hooks)},
      m_core{core_settings(settings, std::move(name), m_hooks),
             random_source{hash64(settings.node.value(), settings.seed)}}
{}

void key_relay_driver::tick()
{
    if (m_members_version != m_peers.members_version())
        members_changed();
    execute(m_core.tick(runtime_clock::now()));
}

void key_relay_driver::key_changed(const kv_entry& entry)
{
    execute(m_core.key_changed(runtime_clock::now(), {entry.key, entry.mod_revision, entry.value}));
}

void key_relay_driver::read(const kv_entry& entry)
{
    execute(m_core.read({entry.key, entry.mod_revision, entry.value}));
}

void key_relay_driver::push(duration store_age, const store_record& store)
{
    execute(m_core.push(store_age, store));
}

void key_relay_driver::notice_received(const key_notice& notice)
{
    execute(m_core.notice_received(runtime_clock::now(), notice));
}

void key_relay_driver::message_received(const key_message& message)
{
    execute(m_core.message_received(runtime_clock::now(), message));
}

void key_relay_driver::members_changed()
{
    m_members_version = m_peers.members_version();
    std::vector<node_id> own;
    std::vector<node_id> all;
    for (const member& one : m_peers.members()) {
        if (!one.live())
            continue;
        all.push_back(one.node);
        if (one.failure_domain == m_settings.failure_domain)
            own.push_back(one.node);
    }
    execute(m_core.members_changed(own, all));
    if (m_hooks.on_neighbours)
        m_hooks.on_neighbours(own);
}

void key_relay_driver::execute(const key_relay_commands& commands)
{
    for (const key_relay_command& command : commands)
        std::visit([this](const auto& cmd) { execute(cmd); }, command);
}

void key_relay_driver::execute(const watch_keys& cmd)
{
    if (cmd.on)
        m_hooks.on_watch();
}

void key_relay_driver::execute(const send_key_message& cmd)
{
    m_peers.send_keys(cmd.to, cmd.body, cmd.priority);
}

void key_relay_driver::execute(const announce_key& cmd)
{
    m_peers.publish(cmd.notice);
}

void key_relay_driver::execute(const key_updated& cmd)
{
    kv_entry entry;
    entry.key = cmd.entry.key;
    entry.value = cmd.entry.value;
    entry.mod_revision = cmd.entry.revision;
    m_hooks.on_key(entry);
}

void key_relay_driver::execute(const neighbour_fresh& cmd)
{
    if (m_hooks.on_fresh)
        m_hooks.on_fresh(cmd.neighbour, cmd.store_age);
}

} // namespace jaynotch
