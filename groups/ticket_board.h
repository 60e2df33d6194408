// Completeness tickets: which groups may be given requests, as this node knows it.
//
//   ticket_board board{{.deployment = "apred", .self = node}};
//   for (auto& wanted : board.handle(groups::tick{}, now)) ...   // probe, ticket_changed, notice
//   for (const groups::complete_group& group : board.complete(now)) ...
//
// Every daemon has one board. Two watchers of each group, chosen by rendezvous hashing over the
// live peers, probe its members and push the ticket; the other nodes hear it as `ticket_seen`. A
// ticket ends by itself, so no push has to arrive for a group to be withdrawn.
#pragma once

#include "groups/record.h"
#include "groups/types.h"

#include <cstddef>
#include <memory>
#include <variant>
#include <vector>

namespace jaynotch::groups {

/// A ticket from a peer. `group.valid_until` is not used: the ticket holds for `remaining` from
/// `sent_at`, this node's clock at the sending of its own latest message that the peer had
/// received when it wrote the ticket. A frame that is held up on its way is thus already old.
struct ticket_seen {
    node_id from;
    complete_group group;
    bool complete = false;
    duration remaining{0};
    time_point sent_at;
};

using board_event = std::variant<report_seen, report_failed, record_seen, tables_installed,
                                 peers_seen, ticket_seen, tick>;
/// ticket_changed is for the node's own log and router and, if this node watches the group, to be
/// pushed to the peers; it is emitted again at each renewal.
using board_command = std::variant<probe, ticket_changed, notice>;

struct board_settings {
    std::string deployment;
    node_id self;
    duration probe_period = 1s;
    duration ticket_horizon = 3s; ///< a ticket ends this long after the oldest report it rests on
    duration settling_time = 8s;  ///< a VM counts once it has been seen in its group for this long
    std::size_t watchers = 2;     ///< of each group
    std::size_t max_groups = 4096;
};

/// The tickets of one node. Pure: no clock, no sockets, no threads.
class ticket_board {
public:
    explicit ticket_board(board_settings settings);
    ~ticket_board();
    ticket_board(ticket_board&&) noexcept;
    ticket_board& operator=(ticket_board&&) noexcept;
    ticket_board(const ticket_board&) = delete;
    ticket_board& operator=(const ticket_board&) = delete;

    std::vector<board_command> handle(const board_event& event, time_point now);

    /// The groups that hold a ticket at `now`, those draining included.
    [[nodiscard]] std::vector<complete_group> complete(time_point now) const;
    /// Whether this node is one of the watchers of `group`.
    [[nodiscard]] bool watches(const group_id& group) const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace jaynotch::groups
