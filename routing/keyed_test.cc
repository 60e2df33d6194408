// Keyed calls: records, repeats, restarts, outages of the key-value service and batching.
#include "routing/claim_record.h"
#include "routing/core_fixture.h"

#include <criterion/criterion.h>

using namespace jaynotch;
using namespace jaynotch::testing;

namespace {

/// Starts a keyed call, grants its claim and returns its attempt.
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

// Guards against losing the outcome of a call whose caller disconnects while it runs. The call must
// not be cancelled; a repeat with the same key gets the stored answer, and one with another body is
// refused.
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

// Guards against waiting for the outcome of a claim whose process no longer exists, because the
// entry VM restarted during the call. A repeat and a status query must be answered at once: the
// outcome is unknown.
Test(keyed, a_claim_from_before_a_restart_is_unknown)
{
    fixture world;
    const claim_record left{"entry-1/boot-0/4", "body", claim_progress::claimed, {}};
    const std::string key = claim_key("test", workspace_id{"farm"}, "monday");
    const kv_outcome found{false, 9, {{key, to_json(left), 8, 8, lease_id{}}}};
    const command_list asked = world.plain(1, "/orders", "monday");
    const command_list leased =
        world.send(lease_result{first<grant_lease>(asked)->token, lease_id{5}});
    const command_list resolved = world.send(kv_result{first<call_kv>(leased)->token, found});
    cr_assert(first<refuse>(resolved)->ran == ran_state::unknown);

    const command_list question =
        world.send(key_status_requested{request_id{2}, workspace_id{"farm"}, "monday"});
    const command_list reported = world.send(kv_result{first<call_kv>(question)->token, found});
    cr_assert(first<report_key_status>(reported)->state == key_state::unknown);
}

// Guards against waiting for the outcome of a claim whose entry VM has died. Once that VM has left
// the membership, a repeat is answered at once that the outcome is unknown; before that the repeat
// waits, since the call may still be running.
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
        const command_list resolved = world.send(kv_result{first<call_kv>(leased)->token, found});
        cr_assert_eq(count<refuse>(resolved), left ? 1 : 0);
        if (left)
            cr_assert(first<refuse>(resolved)->ran == ran_state::unknown);
        const command_list question =
            world.send(key_status_requested{request_id{2}, workspace_id{"farm"}, "monday"});
        const command_list reported = world.send(kv_result{first<call_kv>(question)->token, found});
        cr_assert(first<report_key_status>(reported)->state ==
                  (left ? key_state::unknown : key_state::in_progress));
    }
}

// Guards against keyed calls that hang, or other calls that fail, while the key-value service is
// unavailable. A keyed call must be refused as not sent after two failed calls to the key-value
// service, later ones at once; reads of the same service continue.
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
    // Later one call tries the key-value service again.
    world.pass(std::chrono::seconds{2});
    cr_assert_not_null(first<grant_lease>(world.plain(4, "/orders", "c")));
}

// Guards against one transaction per claim. Thirty calls that arrive together are claimed in one
// transaction; if one key was used before, the others need a second one.
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
