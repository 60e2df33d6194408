#include "routing/claim_record.h"
#include "routing/core_fixture.h"

#include <criterion/criterion.h>

using namespace jaynotch;
using namespace jaynotch::testing;

namespace {

/// Brings a keyed call of the fixture as far as its sending.
send_attempt claim_and_send(fixture& world, std::uint64_t id, const std::string& key)
{
    const command_list asked = world.plain(id, "/orders", key);
    const command_list leased =
        world.send(lease_result{first<grant_lease>(asked)->token, lease_id{5}});
    const command_list granted =
        world.send(kv_result{first<call_kv>(leased)->token, kv_outcome{true, 3, {}}});
    return *first<send_attempt>(granted);
}

} // namespace

// A farmer's signal drops while his confirmation runs. It is not cut off at the server; when he
// presses again with the same key, he gets the first one's record, and his new body none at all.
Test(keyed, a_call_whose_caller_left_is_recorded_for_the_repeat)
{
    fixture world;
    const send_attempt sent = claim_and_send(world, 1, "monday");
    world.send(attempt_sent{sent.request, sent.attempt});
    cr_assert_eq(count<cancel_attempt>(world.send(caller_gone{sent.request})), 0);
    world.send(attempt_head{sent.request, sent.attempt, 201, sent.attempt, false, ""});
    const stored_answer record{201, "text/plain", "order 17"};
    world.send(attempt_finished{sent.request, sent.attempt, true, record});
    const command_list again = world.plain(2, "/orders", "monday");
    cr_assert(first<replay>(again) != nullptr && first<replay>(again)->answer == record);
    const command_list other = world.plain(3, "/orders", "monday", "another body");
    cr_assert(first<refuse>(other)->failure.kind == error_kind::conflict);
    cr_assert(first<refuse>(other)->ran == ran_state::no);
}

// The entry VM restarts while a confirmation is at the server. The repeat is told at once that the
// outcome is unknown, not kept waiting for a process that no longer exists; so is the question.
Test(keyed, a_claim_from_before_a_restart_is_unknown)
{
    fixture world;
    const claim_record left{"entry-1/boot-0/4", "body", claim_progress::claimed, {}};
    const std::string key = claim_key("test", workspace_id{"farm"}, "monday");
    const kv_outcome found{false, 9, {{key, to_json(left), 8, 8, lease_id{}}}};
    const command_list asked = world.plain(1, "/orders", "monday");
    const command_list leased =
        world.send(lease_result{first<grant_lease>(asked)->token, lease_id{5}});
    const command_list judged = world.send(kv_result{first<call_kv>(leased)->token, found});
    cr_assert(first<refuse>(judged)->ran == ran_state::unknown);

    const command_list question =
        world.send(key_status_requested{request_id{2}, workspace_id{"farm"}, "monday"});
    const command_list told = world.send(kv_result{first<call_kv>(question)->token, found});
    cr_assert(first<report_key_status>(told)->state == key_state::unknown);
}

// The entry VM that took the confirmation dies with it. Once the others know that it left, a repeat
// is told at once that the outcome is unknown; while it may still be at work, the repeat waits.
Test(keyed, a_claim_of_a_node_that_left_is_unknown)
{
    for (const bool left : {true, false}) {
        fixture world;
        if (left)
            world.send(peer_left{node_id{"entry-2"}});
        const claim_record open{"entry-2/boot-0/4", "body", claim_progress::claimed, {}};
        const std::string key = claim_key("test", workspace_id{"farm"}, "monday");
        const kv_outcome found{false, 9, {{key, to_json(open), 8, 8, lease_id{}}}};
        const command_list asked = world.plain(1, "/orders", "monday");
        const command_list leased =
            world.send(lease_result{first<grant_lease>(asked)->token, lease_id{5}});
        const command_list judged = world.send(kv_result{first<call_kv>(leased)->token, found});
        cr_assert_eq(count<refuse>(judged), left ? 1 : 0);
        if (left)
            cr_assert(first<refuse>(judged)->ran == ran_state::unknown);
        const command_list question =
            world.send(key_status_requested{request_id{2}, workspace_id{"farm"}, "monday"});
        const command_list told = world.send(kv_result{first<call_kv>(question)->token, found});
        cr_assert(first<report_key_status>(told)->state ==
                  (left ? key_state::unknown : key_state::in_progress));
    }
}

// The platform is dark for an hour. Who confirms an order is told within two calls that it was not
// sent; those who come after are told at once; reads of the same service go on all the while.
Test(keyed, a_store_outage_refuses_only_keyed_calls)
{
    fixture world;
    const command_list asked = world.plain(1, "/orders", "a");
    command_list out = asked;
    for (int tries = 0; tries < 2; ++tries) {
        const grant_lease* lease = first<grant_lease>(out);
        cr_assert_not_null(lease);
        out = world.send(lease_result{lease->token, error{error_kind::unavailable, "", ""}});
    }
    cr_assert(first<refuse>(out) != nullptr && first<refuse>(out)->ran == ran_state::no);
    const command_list next = world.plain(2, "/orders", "b");
    cr_assert(first<refuse>(next) != nullptr && first<refuse>(next)->ran == ran_state::no);
    cr_assert(first<refuse>(next)->retry_after.has_value());
    cr_assert_not_null(first<send_attempt>(world.plain(3, "/read")));
    // After a while one call tries the platform again.
    world.pass(std::chrono::seconds{2});
    cr_assert_not_null(first<grant_lease>(world.plain(4, "/orders", "c")));
}

// Thirty orders arrive together. They are claimed in one transaction, and one that was used before
// costs the others one more.
Test(keyed, many_claims_share_a_transaction)
{
    fixture world;
    const command_list asked = world.plain(100, "/orders", "first");
    const command_list leased =
        world.send(lease_result{first<grant_lease>(asked)->token, lease_id{5}});
    for (std::uint64_t id = 1; id <= 30; ++id)
        world.plain(id, "/orders", "key-" + std::to_string(id));
    world.pass(std::chrono::milliseconds{10});
    const command_list freed =
        world.send(kv_result{first<call_kv>(leased)->token, kv_outcome{true, 3, {}}});
    const call_kv batch = *first<call_kv>(freed);
    cr_assert_eq(batch.transaction.compares.size(), 30);
    const claim_record used{"entry-2/boot-0/4", "another", claim_progress::ran, {}};
    const kv_entry taken{batch.transaction.compares[7].key, to_json(used), 2, 2, lease_id{}};
    const command_list split = world.send(kv_result{batch.token, kv_outcome{false, 4, {taken}}});
    cr_assert(first<refuse>(split)->failure.kind == error_kind::conflict);
    const command_list rest = world.pass(std::chrono::milliseconds{10});
    cr_assert_eq(first<call_kv>(rest)->transaction.compares.size(), 29);
}
