// Learns which contents of requests end servers. A content is whatever a request may share with
// others, or with its own repetitions, identified by a hash.
//
//   crash_suspects suspects;
//   suspects.note_ended(server, contents, now);   // a server ended as it began to answer them
//   suspects.note_served(contents, begun, now);   // a server began to answer and lived on
//   if (suspects.is_blocked(contents)) ...        // refuse the request
//   for (const crash_evidence& each : suspects.take_evidence()) ...   // send it to the other nodes
//   suspects.note_evidence(received, now);        // from another node
#pragma once

#include "base/base.h"

#include <chrono>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace jaynotch {

/// Hash of a content.
using content_id = strong_id<struct content_tag, std::uint64_t>;

enum class evidence_kind {
    server_ended, ///< as it began to answer a request with the content
    served,       ///< a server answered a request with the content and lived on
    blocked,      ///< no node may send requests with the content
};
[[nodiscard]] std::string_view to_name(evidence_kind kind);

/// What a node has seen of one content, `age` ago.
struct crash_evidence {
    content_id content;
    evidence_kind kind = evidence_kind::server_ended;
    std::uint32_t server = 0; ///< server_ended: hash of the server's id
    duration since_end{0};    ///< blocked: time from the last end of a server to the observation
    duration age{0};
};

struct crash_limits {
    /// Servers that end before a content is blocked.
    std::size_t ends_to_block = 3;
    /// Servers that end before a request is no longer retried, though others may still be sent.
    std::size_t ends_to_stop_retries = 2;
    /// How long a content counts as harmless after an answer that went well. Must be longer than
    /// it takes to know that it does.
    std::chrono::milliseconds answer_memory{2'000};
};

class crash_suspects {
public:
    explicit crash_suspects(crash_limits limits = {}) : m_limits{limits} {}

    /// A server ended while requests with these contents had just begun or were about to. Repeated
    /// contents count once.
    void note_ended(const vm_id& server, std::span<const content_id> contents, time_point now);
    /// A server began to answer a request with these contents at `begun` and lived on.
    void note_served(std::span<const content_id> contents, time_point begun, time_point now);
    void note_evidence(const crash_evidence& received, time_point now);
    /// A node has started: the blocked contents are announced more often for a while.
    void note_peer_started(time_point now);
    /// Expires entries and announces blocked contents. To be called at each tick.
    void tick(time_point now);

    [[nodiscard]] bool is_blocked(std::span<const content_id> contents) const;
    /// Whether a request with these contents should not be retried.
    [[nodiscard]] bool is_suspected(std::span<const content_id> contents) const;
    /// How long the contents stay blocked; 0 if none of them is.
    [[nodiscard]] duration blocked_for(std::span<const content_id> contents, time_point now) const;
    /// Evidence for the other nodes since the last call.
    [[nodiscard]] std::vector<crash_evidence> take_evidence();
    /// Contents that were blocked since the last call.
    [[nodiscard]] std::vector<content_id> take_blocked();
    [[nodiscard]] std::size_t size() const { return m_suspects.size(); }

private:
    struct server_end {
        std::uint32_t server = 0;
        time_point at;
    };
    struct suspect {
        std::vector<server_end> ends; ///< since the content was last served
        bool blocked = false;
        time_point last_end;
        time_point last_announced; ///< as blocked, by any node
    };

    void add_end(content_id content, server_end ended, time_point now);
    void clear(content_id content, time_point served_at);
    void block(content_id content, suspect& row, time_point now);
    void remember_answer(content_id content, time_point begun);
    /// Whether a server answered the content near the time at which another one ended.
    [[nodiscard]] bool was_served(content_id content, time_point ended) const;
    void lift_block(suspect& row, time_point now) const;
    void share(const crash_evidence& evidence);
    void share_blocked(content_id content, suspect& row, time_point now);
    /// The content's row, made if there is room; null if there is none.
    suspect* find_or_add(content_id content);
    [[nodiscard]] const suspect* find(content_id content) const;

    crash_limits m_limits;
    std::unordered_map<content_id, suspect> m_suspects;
    /// When a server last began to answer a request with the content and lived on.
    std::unordered_map<content_id, time_point> m_served;
    std::vector<crash_evidence> m_evidence;
    std::vector<content_id> m_newly_blocked;
    time_point m_next_cleanup;
    time_point m_peers_start_until; ///< nodes that have just started may listen
};

} // namespace jaynotch
