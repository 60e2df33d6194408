// At-most-once execution of keyed calls: a call is claimed in the key-value service before its
// first byte is sent.
//
//   claim_manager claims{settings};
//   claims.begin(request, key, body_digest, retention, wait_until, now);
//   claims.pump(now, commands);                     // call_kv, grant_lease
//   claims.on_kv(token, outcome, now);
//   for (const claim_resolution& each : claims.take_resolutions())
//       ...                                         // claim_granted: the request may be sent
//   claims.record_ran(request, answer, now);        // or record_unknown, or abandon
//
// Only a request that received claim_granted may be sent, and only until its own deadline.
#pragma once

#include "routing/claim_record.h"
#include "routing/request_commands.h"
#include "routing/request_core.h"

#include <deque>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

namespace jaynotch {

/// The request owns the claim and may be sent.
struct claim_granted {
    request_id request;
};
/// The call ran before; `answer` is its stored answer.
struct claim_replayed {
    request_id request;
    stored_answer answer;
};
/// The call ran before; its answer was too large to be stored.
struct claim_ran_without_answer {
    request_id request;
};
/// The key was used with another body. The request was not sent.
struct claim_conflict {
    request_id request;
};
/// The call was sent and its outcome is unknown, or its creator died.
struct claim_unknown {
    request_id request;
};
/// Another call with this key is still in progress.
struct claim_in_progress {
    request_id request;
};
/// The key-value service did not answer in time. The request was not sent.
struct claim_store_unavailable {
    request_id request;
};
/// Answer to query_status().
struct claim_status_reported {
    request_id request;
    key_state state = key_state::no_record;
    std::optional<stored_answer> answer;
};

using claim_resolution =
    std::variant<claim_granted, claim_replayed, claim_ran_without_answer, claim_conflict,
                 claim_unknown, claim_in_progress, claim_store_unavailable, claim_status_reported>;

/// The claims of one node. See claim_manager.cc for why at most one execution follows.
class claim_manager {
public:
    explicit claim_manager(const core_settings& settings);

    /// Starts claiming `key` for `request`; false if too many claims are pending. `retention` is
    /// how long the record is kept; at `wait_until` the request is resolved without a claim.
    bool begin(request_id request, const std::string& key, const std::string& body_digest,
               std::chrono::seconds retention, time_point wait_until, time_point now);
    /// The granted request ran; `answer` is stored for repeats if it is small enough.
    void record_ran(request_id request, std::optional<stored_answer> answer, time_point now);
    /// The granted request was sent and its outcome is unknown.
    void record_unknown(request_id request, time_point now);
    /// The request certainly did not run and will not be sent: frees its claim.
    void abandon(request_id request, time_point now);
    /// Requests the status of a key; false if too many queries are pending.
    bool query_status(request_id request, const std::string& key, time_point now);

    void on_kv(kv_token token, const result<kv_outcome>& outcome, time_point now);
    void on_lease(kv_token token, const result<lease_id>& lease, time_point now);
    /// Appends the calls that are due. Call after every event.
    void pump(time_point now, command_list& out);
    /// A node left the membership: its unfinished claims count as of unknown outcome.
    void on_node_left(const node_id& node);
    /// The node is a member (again).
    void on_node_seen(const node_id& node);
    /// Resolutions since the last call.
    std::vector<claim_resolution> take_resolutions();

    [[nodiscard]] std::size_t size() const { return m_items.size(); }
    [[nodiscard]] std::uint64_t transactions() const { return m_transactions; }
    [[nodiscard]] bool store_unavailable(time_point now) const
    {
        return now < m_store_unavailable_until;
    }

private:
    using item_number = std::uint64_t;

    enum class item_state {
        waiting,  ///< not claimed yet
        claiming, ///< in a claim transaction
        polling,  ///< claimed by another process; read periodically
        owned,    ///< claimed by this process: the owner's request may be sent
        storing,  ///< owned: the outcome is being written
        deleting, ///< owned, abandoned before it was sent: being deleted at its revision
        cleaning, ///< abandoned while it was unknown whether our claim had been created
    };

    struct requester {
        request_id request;
        time_point wait_until;
    };

    struct item {
        std::string key;
        std::string claimant;
        std::string body_digest;
        std::chrono::seconds retention{0};
        item_state state = item_state::waiting;
        std::vector<requester> requesters; ///< in state `owned` the first one is the owner
        std::int64_t revision = 0;         ///< mod_revision of our record
        lease_id lease;
        bool maybe_created = false; ///< a claim transaction had no reply and may have succeeded
        std::uint32_t tries = 0;
        time_point wake;
        claim_record outcome; ///< valid in state `storing`
    };

    enum class batch_kind { claim, read, store, erase };
    struct batch {
        batch_kind kind = batch_kind::claim;
        std::vector<item_number> items;
        std::vector<request_id> asks; ///< unused
    };

    struct lease_row {
        std::chrono::seconds retention{0};
        lease_id lease;
        time_point granted;
        kv_token pending; ///< 0 if none
        time_point asked;
    };

    struct status_query {
        request_id request;
        std::string key;
    };

    struct wake_up {
        time_point at;
        std::uint64_t number = 0;
        friend auto operator<=>(const wake_up&, const wake_up&) = default;
    };

    // claim_manager.cc: state changes of an item
    item_number make_item(const std::string& key, const std::string& body_digest,
                          std::chrono::seconds retention);
    void add_requester(item_number number, requester added);
    void join(item_number number, requester added, const std::string& body_digest);
    void drop_requester(item& dropped, request_id request);
    void grant(item_number number, std::int64_t revision, time_point now);
    void resolve_all(item& resolved, const claim_record& record);
    void resolve_one(request_id request, const std::string& body_digest,
                     const claim_record& record);
    void handle_foreign_claim(item_number number, const claim_record& record, time_point now);
    void free_item(item_number number);
    void finish_recording(item_number number, time_point now);
    void fail_waiting(time_point now);
    void expire_requesters(time_point now);
    void wake_items(time_point now);
    void schedule_wake(item_number number, duration span, time_point now);
    void enqueue_for_state(item_number number);
    [[nodiscard]] bool created_by_this_node(const std::string& claimant) const;
    [[nodiscard]] bool creator_has_left(const std::string& claimant) const;

    // claim_manager_kv.cc: transactions
    void pump_claims(time_point now, command_list& out);
    void pump_reads(time_point now, command_list& out);
    void pump_stores(time_point now, command_list& out);
    void pump_erasures(time_point now, command_list& out);
    lease_row* lease_for(std::chrono::seconds retention, time_point now, command_list& out);
    void send(batch sent, kv_transaction transaction, command_list& out);
    void on_claimed(const batch& done, const result<kv_outcome>& outcome, time_point now);
    void on_read(const batch& done, const result<kv_outcome>& outcome, time_point now);
    void on_stored(const batch& done, const result<kv_outcome>& outcome, time_point now);
    void on_erased(const batch& done, const result<kv_outcome>& outcome, time_point now);
    void answer_status_query(const status_query& asked, const kv_entry* entry);
    void note_store_failure(time_point now);

    const core_settings m_settings;
    std::string m_claimant_prefix; ///< "node/incarnation/"
    std::string m_node_prefix;     ///< "node/"
    std::set<node_id> m_left;      ///< nodes that left, at most core_settings::max_peers
    std::uint64_t m_next = 1;
    std::unordered_map<item_number, item> m_items;
    std::unordered_map<std::string, item_number> m_by_key;
    std::unordered_map<request_id, item_number> m_by_request;
    std::set<wake_up> m_item_wakes;
    std::set<wake_up> m_request_wakes;
    std::deque<item_number> m_to_claim;
    std::deque<item_number> m_to_read;
    std::deque<item_number> m_to_store;
    std::deque<item_number> m_to_erase;
    std::vector<status_query> m_status_queries;      ///< waiting for a read transaction
    std::vector<status_query> m_status_queries_sent; ///< in the current read transaction
    std::unordered_map<kv_token, batch> m_calls;
    std::array<bool, 4> m_busy{}; ///< by batch_kind: a call of this kind is in flight
    std::vector<lease_row> m_leases;
    time_point m_next_claim;
    std::uint32_t m_consecutive_failures = 0; ///< of claim transactions and lease grants
    time_point m_store_unavailable_until;
    std::size_t m_stored_bytes = 0;
    std::uint64_t m_transactions = 0;
    std::vector<claim_resolution> m_resolutions;
};

} // namespace jaynotch
