// Internal state of formation_manager, shared by formation*.cc. Not part of the public interface.
#pragma once

#include "groups/formation.h"
#include "groups/group_allocation.h"

namespace jaynotch::groups {

/// One runner of the domain as seen by its manager.
struct runner_view {
    runner row;
    std::string warm_model; ///< model of its last group since it started; joins for it are fast
    bool listed = true;     ///< its entry is in the registry
    time_point unlisted_at;
    time_point liveness_queried_at; ///< last probe that was sent because its entry was missing
    time_point probed_at;           ///< last probe
    time_point probe_answered_at;   ///< last answer to a probe
    time_point leaving_since;
    /// The runner itself has confirmed (by an order reply or a report) that it was in `row.group`,
    /// or in none, after it had begun exactly `begun_orders` orders since its start. Further orders
    /// may have reached it since.
    bool membership_confirmed = false;
    std::int64_t begun_orders = 0;
    time_point reported_at; ///< when its report last differed from its entry
    /// Composition that the runner has joined according to its order reply or report but that its
    /// entry does not show yet. Until it does, entries that name an older composition or none are
    /// stale.
    std::optional<group_key> joined_before_entry;
    /// Epoch of the newest composition that the runner has confirmed leaving. Entries and reports
    /// with this epoch or a lower one are stale.
    std::int64_t left_epoch = 0;
    /// Since when probes were accepted but not answered; set only while its group is kept for it.
    std::optional<time_point> silent_since;
    std::uint32_t probes_missed = 0; ///< in a row, though the connection was accepted
    std::uint32_t orders_missed = 0; ///< in a row
    time_point next_silence_probe;
    bool unresponsive = false; ///< did not answer a probe
    time_point unresponsive_since;
    bool dead = false; ///< unresponsive, and it did not answer any other node either
    /// Unresponsive, and no other member of its group has answered either: until this time, the
    /// peers' word is awaited before it counts as lost.
    time_point doubted_until;
    time_point unresponsive_until;
    std::optional<call_token> pending; ///< order without a reply yet
    time_point pending_since;
    member_order pending_order;
    std::int64_t begun_orders_before_pending = 0; ///< `begun_orders` when that order was sent
    time_point next_order_at;                     ///< earliest time of the next order
    time_point next_group_probe;                  ///< of the group that it is the head of
    time_point next_report_query;                 ///< earliest time of the next report request
    time_point report_requested_at;               ///< the last request
    time_point order_accepted_at;     ///< the last one; reports requested earlier may not count it
    std::uint32_t reports_missed = 0; ///< requests in a row without an answer
    std::string staging;              ///< model that is being staged on its host
    time_point staging_until;         ///< staging is given up at this time
};

/// Purpose of a composition.
enum class group_purpose {
    serve,
    /// A single spare that is never opened. Joining loads the weights into its accelerators, so
    /// that a later join that replaces a lost member is fast.
    warm_up,
};

/// A composition ordered by this manager.
struct planned_group {
    group_purpose purpose = group_purpose::serve;
    group_id group;
    std::int64_t epoch = 0;
    std::string model;
    std::vector<vm_id> members; ///< by rank
    time_point deadline;        ///< dissolved if it is incomplete at this time
};

/// A model and its number of groups relative to its share of the work.
struct model_need {
    double groups_per_share = 0.0;
    const pool* model_pool = nullptr;
};

/// A composition as shown by the entries of its members.
struct observed_group {
    group_id group;
    std::int64_t epoch = 0;
    std::map<std::uint32_t, vm_id> members; ///< by rank
};

/// Whether the runner is a member of this composition.
inline bool is_in(const runner_view& view, const group_key& key)
{
    return view.row.group && view.row.group->epoch == key.second &&
           view.row.group->group == key.first;
}

struct formation_manager::state {
    state(formation_settings given, const runner_registry& shared);

    // formation.cc: events and orders
    void apply(const formation_event& event, time_point now);
    void adopt_runners();
    void clear_runners();
    void index_runners();
    void update_runner(const runner& row, time_point now);
    void unlist_runner(const vm_id& vm, time_point now);
    void handle_order_answer(const order_answered& answer, time_point now);
    void apply_accepted_order(runner_view& view, const member_order& order, order_reply reply,
                              time_point now);
    void apply_join(runner_view& view, const join_group& joined, bool begun, time_point now);
    void apply_leave(runner_view& view, const leave_group& left, time_point now);
    void handle_unresponsive_group(const group_unresponsive& seen, time_point now);
    void probe_group(const group_unresponsive& seen, time_point now);
    [[nodiscard]] bool take_peer_probe_token(time_point now);
    void probe(runner_view& view, time_point now);
    void note_failed_probe(runner_view& view, time_point now);
    /// Whether it is not known yet if a runner that did not answer is lost.
    [[nodiscard]] static bool is_doubted(const runner_view& view, time_point now);
    void probe_members(const group_key& key, time_point now);
    void handle_probe_answer(const member_probed& probed, time_point now);
    [[nodiscard]] bool wait_for_silent_member(runner_view& view, time_point now);
    [[nodiscard]] duration longest_silence(const runner_view& view, time_point now) const;
    [[nodiscard]] bool has_lost_member(const runner_view& member) const;
    [[nodiscard]] bool group_answered_since(const runner_view& member, time_point since) const;
    void handle_reach(const server_reach_changed& changed);
    void run_tick(time_point now);

    // formation_outage.cc: managing while the platform's store is unreachable
    [[nodiscard]] bool store_unreachable(time_point now) const;
    void query_store_outage(time_point now);
    void query_members(time_point now);
    void query_runner(runner_view& view, time_point now);
    void handle_missed_report(const vm_id& vm, time_point now);
    [[nodiscard]] static duration backed_off(duration first, std::uint32_t misses, duration most);
    void handle_report(const runner_report& report, time_point now);
    void apply_report(const runner_word& word, runner_view& view, time_point now);
    void broadcast(const runner_view& view, time_point now);
    void recheck_unresponsive(runner_view& view, time_point now);
    // formation.cc: election, expiry and logging
    void run_election(time_point now);
    void expire_runners(time_point now);
    [[nodiscard]] std::optional<duration> current_claim_delay();
    [[nodiscard]] duration compute_claim_delay() const;
    void log_runner_use(time_point now);
    [[nodiscard]] std::string describe_use(const runner_view& view) const;
    void add_notice(log_level level, std::string kind, std::string subject, std::string detail);

    // formation_groups.cc: existing groups
    void review_groups(time_point now);
    void review_group(const observed_group& observed, time_point now);
    [[nodiscard]] bool is_warm_up(const group_key& key) const;
    void end_warm_up(const observed_group& observed, time_point now);
    void open_if_ready(const observed_group& observed, runner_view& head, time_point now);
    void dissolve(const observed_group& observed, time_point now);
    [[nodiscard]] std::string describe_loss(const observed_group& observed, time_point now) const;
    void query_survivors(const observed_group& observed, time_point now);
    void close_before_leave(const observed_group& observed, runner_view& head, time_point now);
    [[nodiscard]] bool reported_recently(const observed_group& observed, time_point now) const;
    [[nodiscard]] bool has_doubted_member(const observed_group& observed, time_point now) const;
    [[nodiscard]] bool entries_may_return(const observed_group& observed, time_point now);
    [[nodiscard]] bool entry_may_return(runner_view& view, time_point now);
    [[nodiscard]] runner_view* head_of(const observed_group& observed);
    [[nodiscard]] bool is_in_serving_group(const runner_view& member) const;
    [[nodiscard]] const pool* pool_of(const observed_group& observed) const;
    [[nodiscard]] bool is_reachable(const runner_view& view) const;
    [[nodiscard]] bool is_complete(const observed_group& observed, const pool& model_pool) const;
    [[nodiscard]] bool still_forming(const group_key& key, time_point now) const;
    [[nodiscard]] std::optional<time_point> first_seen(const group_key& key) const;
    void resend_joins(time_point now);

    /// Whether operators have asked to send nothing to the runners of the domain. The groups stay
    /// as they are meanwhile, so that they serve again as soon as the evacuation is withdrawn.
    [[nodiscard]] bool evacuated() const { return registry.is_evacuated(settings.domain); }

    // formation_plan.cc: use of free runners
    void form_groups(time_point now);
    bool form_group(const fabric_domain_id& domain, const pool& model_pool, duration longest,
                    time_point now);
    void form_initial_groups(time_point now);
    void stage_spares(const fabric_domain_id& domain, const std::vector<model_need>& ranked,
                      time_point now);
    [[nodiscard]] const pool* largest_model(const fabric_domain_id& domain) const;
    [[nodiscard]] const pool* model_to_stage(const fabric_domain_id& domain,
                                             const std::vector<runner_view*>& spare,
                                             const std::vector<model_need>& ranked) const;
    [[nodiscard]] std::vector<runner_view*> free_runners(const fabric_domain_id& domain,
                                                         time_point now);
    [[nodiscard]] std::vector<model_need> models_by_need() const;
    [[nodiscard]] duration time_to_ready(const runner_view& view, const pool& model_pool) const;
    [[nodiscard]] bool take_load_token(const pool& model_pool, time_point now);
    void warm_spares(const fabric_domain_id& domain, time_point now);
    bool start_group(const pool& model_pool, std::vector<runner_view*> members,
                     group_purpose purpose, time_point now);
    void order_joins(const planned_group& plan, time_point now);

    bool order(runner_view& view, member_order wanted, time_point now);
    [[nodiscard]] runner_view* find(const vm_id& vm);
    [[nodiscard]] const runner_view* find(const vm_id& vm) const;
    [[nodiscard]] bool managed(const runner& row) const;

    formation_settings settings;
    election lease_election;
    const runner_registry& registry;
    bool managing = false;                ///< holds the domain's key; `runners` is kept up to date
    std::map<vm_id, runner_view> runners; ///< of the domain; empty unless managing
    std::map<fabric_domain_id, std::vector<runner_view*>> by_fabric;
    std::vector<pool> pools; ///< model pools
    std::vector<peer_row> peers;
    std::map<group_key, planned_group> planned;
    /// Cached compute_claim_delay(); reset when the peers or the registry status change.
    std::optional<duration> delay_before_claim;
    registry_status registry_state;
    bool traffic = false;
    bool cut_off = false; ///< this node seems to reach no backend server
    bool was_leading = false;
    std::optional<group_allocation> initial_allocation; ///< computed once registration has settled
    time_point allocated_at_join; ///< registry.last_joined() when it was computed
    std::set<failure_domain_id> evacuated_at_allocation; ///< registry.evacuated_domains() then
    std::int64_t last_group_number = 0;                  ///< within `group_number_term`
    std::int64_t group_number_term = 0;
    std::uint64_t last_token = 0;
    std::uint64_t orders = 0;
    double load_tokens = 0.0; ///< token bucket: loads that may start now
    time_point load_tokens_at;
    double peer_probe_tokens = 0.0; ///< token bucket: probes because of other nodes' reports
    time_point peer_probe_tokens_at;
    time_point use_logged_at;
    time_point outage_queried_at;
    formation_commands out;
};

} // namespace jaynotch::groups
