// Inside the formation manager: what it knows and the systems that run over it. Not part of the
// public interface.
#pragma once

#include "groups/formation.h"
#include "groups/group_allocation.h"

namespace jaynotch::groups {

/// One runner of the domain as its manager knows it.
struct runner_view {
    runner row;
    std::string warm_model; ///< model of the last group of this life: joins to it are quick
    bool listed = true;     ///< its entry is in the registry
    time_point unlisted_at;
    time_point liveness_queried_at; ///< asked whether it lives, since its entry had gone
    time_point probe_answered_at;   ///< a probe
    time_point leaving_since;
    /// By its own word it was in `row.group` after it had begun just `begun_orders` orders of this
    /// start. Others may have reached it since.
    bool membership_confirmed = false;
    std::int64_t begun_orders = 0;
    time_point reported_at; ///< when its own word last differed from the registry
    /// Composition that it has joined by its own word, to an order or a question. Its entry has yet
    /// to show it; until then entries of older compositions, or of none, were written before.
    std::optional<group_key> joined_before_entry;
    /// Newest composition that it has left by its own word. Entries and reports that name it, or
    /// one before it, are from before.
    std::int64_t left_epoch = 0;
    bool unresponsive = false; ///< did not answer a probe
    time_point unresponsive_since;
    bool dead = false; ///< silent, and no other node is answered either
    time_point unresponsive_until;
    std::optional<call_token> pending; ///< order under way
    time_point pending_since;
    member_order pending_order;
    std::int64_t begun_orders_before_pending = 0; ///< orders that it had begun as that was sent
    time_point next_order_at;                     ///< of the next order
    time_point next_report_query;                 ///< of the next question for its report
    std::string staging;                          ///< model that was ordered onto its host
    time_point staging_until;                     ///< given up then
};

/// What a composition is for.
enum class group_purpose {
    serve,
    /// One spare alone, never opened: joining puts the weights into its accelerators, so that the
    /// join that makes a broken group whole again is quick.
    warm_up,
};

/// A composition that this manager has ordered.
struct planned_group {
    group_purpose purpose = group_purpose::serve;
    group_id group;
    std::int64_t epoch = 0;
    std::string model;
    std::vector<vm_id> members; ///< by rank
    time_point deadline;        ///< dissolved if it isn't whole by then
};

/// A model with its groups for its share of the work.
struct model_need {
    double groups_per_share = 0.0;
    const pool* model_pool = nullptr;
};

/// A composition as the registry shows it.
struct observed_group {
    group_id group;
    std::int64_t epoch = 0;
    std::map<std::uint32_t, vm_id> members; ///< by rank
};

/// Whether the runner's entry names this composition.
inline bool is_in(const runner_view& view, const group_key& key)
{
    return view.row.group && view.row.group->epoch == key.second &&
           view.row.group->group == key.first;
}

struct formation_manager::state {
    state(formation_settings given, const runner_registry& shared);

    // formation.cc: events
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
    void probe_group(const vm_id& head);
    void handle_probe_answer(const member_probed& probed, time_point now);
    void run_tick(time_point now);

    // formation_dark.cc: while the registry shows nothing
    [[nodiscard]] bool store_unreachable(time_point now) const;
    void query_store_outage(time_point now);
    void query_members(time_point now);
    void query_runner(runner_view& view, time_point now);
    void handle_report(const runner_report& report, time_point now);
    void apply_report(const runner_word& word, runner_view& view, time_point now);
    void broadcast(const runner_view& view, time_point now);
    void recheck_unresponsive(runner_view& view, time_point now);
    void run_election(time_point now);
    void expire_runners(time_point now);
    [[nodiscard]] std::optional<duration> claim_delay();
    [[nodiscard]] duration compute_claim_delay() const;
    void log_runner_use(time_point now);
    [[nodiscard]] std::string describe_use(const runner_view& view) const;
    void add_notice(log_level level, std::string kind, std::string subject, std::string detail);

    // formation_groups.cc: what becomes of the groups that there are
    void review_groups(time_point now);
    void review_group(const observed_group& observed, time_point now);
    [[nodiscard]] bool is_warm_up(const group_key& key) const;
    void end_warm_up(const observed_group& observed, time_point now);
    void open_if_ready(const observed_group& observed, runner_view& head, time_point now);
    void dissolve(const observed_group& observed, time_point now);
    void query_survivors(const observed_group& observed, time_point now);
    void close_before_leave(const observed_group& observed, runner_view& head, time_point now);
    [[nodiscard]] bool reported_recently(const observed_group& observed, time_point now) const;
    [[nodiscard]] bool entries_may_return(const observed_group& observed, time_point now);
    [[nodiscard]] bool entry_may_return(runner_view& view, time_point now);
    [[nodiscard]] runner_view* head_of(const observed_group& observed);
    [[nodiscard]] const pool* pool_of(const observed_group& observed) const;
    [[nodiscard]] bool is_reachable(const runner_view& view) const;
    [[nodiscard]] bool is_complete(const observed_group& observed, const pool& model_pool) const;
    [[nodiscard]] bool still_forming(const group_key& key, time_point now) const;
    [[nodiscard]] std::optional<time_point> first_seen(const group_key& key) const;
    void resend_joins(time_point now);

    // formation_plan.cc: what is made of free runners
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
    void start_group(const pool& model_pool, std::vector<runner_view*> members,
                     group_purpose purpose, time_point now);
    void order_joins(const planned_group& plan, time_point now);

    bool order(runner_view& view, member_order wanted, time_point now);
    [[nodiscard]] runner_view* find(const vm_id& vm);
    [[nodiscard]] const runner_view* find(const vm_id& vm) const;
    [[nodiscard]] bool managed(const runner& row) const;

    formation_settings settings;
    election lease_election;
    const runner_registry& registry;
    bool managing = false;                ///< holds the domain's key, and so the runners' views
    std::map<vm_id, runner_view> runners; ///< of the domain, while it manages
    /// The runners by fabric domain.
    std::map<fabric_domain_id, std::vector<runner_view*>> by_fabric;
    std::vector<pool> pools; ///< of models
    std::vector<peer_row> peers;
    std::map<group_key, planned_group> planned;
    /// Worked out anew when the peers change.
    std::optional<duration> delay_before_claim;
    registry_status registry_state;
    bool traffic = false;
    bool was_leading = false;
    std::optional<group_allocation> initial_allocation; ///< once the registry has settled
    time_point allocated_at_join;                       ///< the last runner that it counts
    std::int64_t last_group_number = 0;                 ///< of the groups of this term
    std::int64_t group_number_term = 0;
    std::uint64_t last_token = 0;
    std::uint64_t orders = 0;
    double load_tokens = 0.0; ///< loads that may begin now, by the weight store's rate
    time_point load_tokens_at;
    time_point use_logged_at;
    time_point outage_queried_at;
    formation_commands out;
};

} // namespace jaynotch::groups
