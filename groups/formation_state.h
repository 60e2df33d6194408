// Inside the formation manager: what it knows and the systems that run over it. Not part of the
// public interface.
#pragma once

#include "groups/allot.h"
#include "groups/formation.h"

namespace jaynotch::groups {

/// One runner of the domain as its manager knows it.
struct runner_view {
    runner row;
    std::string warm;   ///< model of the last group of this life: joins to it are quick
    bool listed = true; ///< its entry is in the registry
    time_point unlisted_at;
    time_point doubted_at;  ///< asked whether it lives, since its entry had gone
    time_point answered_at; ///< a probe
    time_point leaving_since;
    /// By its own word it was in `row.group` after it had begun just `begun_orders` orders of this
    /// start. Others may have reached it since.
    bool vouched = false;
    std::int64_t begun_orders = 0;
    time_point told_at; ///< when its own word last differed from the registry
    /// Composition that it has joined by its own word, to an order or a question. Its entry has yet
    /// to show it; until then entries of older compositions, or of none, were written before.
    std::optional<group_key> ahead;
    /// Newest composition that it has left by its own word. Entries and reports that name it, or
    /// one before it, are from before.
    std::int64_t left_epoch = 0;
    bool silent = false; ///< did not answer a probe
    time_point silent_since;
    bool dead = false; ///< silent, and no other node is answered either
    time_point silent_until;
    std::optional<call_token> pending; ///< order under way
    time_point pending_since;
    member_order pending_order;
    std::int64_t begun_before_pending = 0; ///< orders that it had begun as that was sent
    time_point not_before;                 ///< of the next order
    time_point ask_again;                  ///< of the next question for its report
    std::string staging;                   ///< model that was ordered onto its host
    time_point staging_until;              ///< given up then
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
    time_point give_up;         ///< dissolved if it isn't whole by then
};

/// A model with its groups for its share of the work.
struct needed_model {
    double groups_for_share = 0.0;
    const pool* kind = nullptr;
};

/// A composition as the registry shows it.
struct seen_group {
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

struct formation::state {
    state(formation_settings given, const runner_registry& shared);

    // formation.cc: events
    void take(const formation_event& happened, time_point now);
    void adopt_runners();
    void release_runners();
    void index_runners();
    void take_runner(const runner& row, time_point now);
    void drop_runner(const vm_id& vm, time_point now);
    void take_answer(const order_answered& answer, time_point now);
    void carried_out(runner_view& view, const member_order& order, order_reply reply,
                     time_point now);
    void has_joined(runner_view& view, const join_group& joined, bool begun, time_point now);
    void has_left(runner_view& view, const leave_group& left, time_point now);
    void take_silence(const vm_id& head);
    void take_probe(const member_probed& probed, time_point now);
    void run_tick(time_point now);

    // formation_dark.cc: while the registry shows nothing
    [[nodiscard]] bool dark(time_point now) const;
    void ask_about_store(time_point now);
    void ask_members(time_point now);
    void ask(runner_view& view, time_point now);
    void take_report(const runner_report& report, time_point now);
    void install(const runner_word& word, runner_view& view, time_point now);
    void share(const runner_view& view, time_point now);
    void doubt_silent(runner_view& view, time_point now);
    void run_election(time_point now);
    void forget_lost(time_point now);
    [[nodiscard]] std::optional<duration> patience();
    [[nodiscard]] duration claim_delay() const;
    void say_use(time_point now);
    [[nodiscard]] std::string use_of(const runner_view& view) const;
    void say(log_level level, std::string kind, std::string subject, std::string detail);

    // formation_groups.cc: what becomes of the groups that there are
    void look_at_groups(time_point now);
    void look_at(const seen_group& seen, time_point now);
    [[nodiscard]] bool warms_up(const group_key& key) const;
    void end_warm_up(const seen_group& seen, time_point now);
    void open_if_whole(const seen_group& seen, runner_view& head, time_point now);
    void dissolve(const seen_group& seen, time_point now);
    void ask_survivors(const seen_group& seen, time_point now);
    void close_before_leave(const seen_group& seen, runner_view& head, time_point now);
    [[nodiscard]] bool told_lately(const seen_group& seen, time_point now) const;
    [[nodiscard]] bool entries_may_return(const seen_group& seen, time_point now);
    [[nodiscard]] bool entry_may_return(runner_view& view, time_point now);
    [[nodiscard]] runner_view* head_of(const seen_group& seen);
    [[nodiscard]] const pool* pool_of(const seen_group& seen) const;
    [[nodiscard]] bool standing(const runner_view& view) const;
    [[nodiscard]] bool whole(const seen_group& seen, const pool& kind) const;
    [[nodiscard]] bool coming_together(const group_key& key, time_point now) const;
    [[nodiscard]] std::optional<time_point> first_seen(const group_key& key) const;
    void join_again(time_point now);

    // formation_plan.cc: what is made of free runners
    void form_groups(time_point now);
    bool form_one(const fabric_domain_id& domain, const pool& kind, duration longest,
                  time_point now);
    void form_early(time_point now);
    void stage_spares(const fabric_domain_id& domain, const std::vector<needed_model>& ranked,
                      time_point now);
    [[nodiscard]] const pool* largest_in(const fabric_domain_id& domain) const;
    [[nodiscard]] const pool* model_to_stage(const fabric_domain_id& domain,
                                             const std::vector<runner_view*>& spare,
                                             const std::vector<needed_model>& ranked) const;
    [[nodiscard]] std::vector<runner_view*> free_in(const fabric_domain_id& domain, time_point now);
    [[nodiscard]] std::vector<needed_model> ranked_by_need() const;
    [[nodiscard]] duration ready_in(const runner_view& view, const pool& kind) const;
    [[nodiscard]] bool may_load(const pool& kind, time_point now);
    void warm_spares(const fabric_domain_id& domain, time_point now);
    void start_group(const pool& kind, std::vector<runner_view*> members, group_purpose purpose,
                     time_point now);
    void order_joins(const planned_group& plan, time_point now);

    bool order(runner_view& view, member_order wanted, time_point now);
    [[nodiscard]] runner_view* find(const vm_id& vm);
    [[nodiscard]] const runner_view* find(const vm_id& vm) const;
    [[nodiscard]] bool managed(const runner& row) const;

    formation_settings settings;
    election vote;
    const runner_registry& known;
    bool managing = false;                ///< holds the domain's key, and so the runners' views
    std::map<vm_id, runner_view> runners; ///< of the domain, while it manages
    /// The runners by fabric domain.
    std::map<fabric_domain_id, std::vector<runner_view*>> by_fabric;
    std::vector<pool> pools; ///< of models
    std::vector<peer_row> peers;
    std::map<group_key, planned_group> planned;
    /// Worked out anew when the peers change.
    std::optional<duration> delay_before_claim;
    registry_current registry;
    bool traffic = false;
    bool was_leading = false;
    std::optional<allotment> allotted; ///< once the registry has settled
    time_point allotted_for;           ///< the last runner that it counts
    std::int64_t last_number = 0;      ///< of the groups of this term
    std::int64_t number_term = 0;
    std::uint64_t last_token = 0;
    std::uint64_t orders = 0;
    double load_tokens = 0.0; ///< loads that may begin now, by the weight store's rate
    time_point tokens_at;
    time_point use_said;
    time_point outage_asked;
    formation_commands out;
};

} // namespace jaynotch::groups
