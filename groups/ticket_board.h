// Completeness tickets: which groups may receive requests, as known to this node.
//
//   ticket_board board{{.deployment = "apred", .self = node}};
//   for (auto& wanted : board.handle(groups::tick{}, now)) ...   // probe, ticket_changed, notice
//   for (const groups::complete_group& group : board.complete(now)) ...
//
// Every daemon has one board. Each group has two watchers, chosen by rendezvous hashing over the
// live peers. They probe its members and push the ticket to the other nodes, which receive it as
// `ticket_seen`. A ticket expires by itself, so a group stops receiving requests even if no push
// arrives.
#pragma once

#include "groups/record.h"
#include "groups/types.h"

#include <cstddef>
#include <memory>
#include <variant>
#include <vector>

namespace jaynotch::groups {

/// A ticket from a peer. `group.valid_until` is not used, as clocks differ: the ticket is valid for
/// `remaining` from `sent_at`, which is when, by this node's clock, it sent the latest message that
/// the peer had received when it wrote the ticket. Delay of a frame therefore shortens the ticket
/// and never extends it.
struct ticket_seen {
    node_id from;
    complete_group group;
    bool complete = false;
    duration remaining{0};
    time_point sent_at;
};

using board_event = std::variant<report_seen, report_failed, record_seen, tables_installed,
                                 peers_seen, ticket_seen, tick>;
/// ticket_changed goes to the node's own log and router and, if this node watches the group, to the
/// peers. It is emitted again at each renewal.
using board_command = std::variant<probe, ticket_changed, notice>;

struct board_settings {
    std::string deployment;
    node_id self;
    duration probe_period = 1s;
    duration ticket_horizon = 3s; ///< a ticket expires this long after the oldest report behind it
    duration settling_time = 8s;  ///< how long reports must show a VM in its group before it counts
    std::size_t watchers = 2;     ///< nodes that watch each group
    std::size_t max_groups = 4096;
};

/// The tickets of one node. It has no clock, sockets or threads of its own.
class ticket_board {
public:
    explicit ticket_board(board_settings settings);
    ~ticket_board();
    ticket_board(ticket_board&&) noexcept;
    ticket_board& operator=(ticket_board&&) noexcept;
    ticket_board(const ticket_board&) = delete;
    ticket_board& operator=(const ticket_board&) = delete;

    /// Handles one event at `now`. Returns the commands to execute, in order.
    std::vector<board_command> handle(const board_event& event, time_point now);

    /// The groups with a valid ticket at `now`, including those that drain.
    [[nodiscard]] std::vector<complete_group> complete(time_point now) const;
    /// Whether this node is one of the watchers of `group`.
    [[nodiscard]] bool watches(const group_id& group) const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace jaynotch::groups
