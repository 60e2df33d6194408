#include "peers/test_network.h"

#include <criterion/criterion.h>

using namespace jaynotch;
using namespace jaynotch::testing;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

bool all_report(const test_network& net, const test_node& other, member_state state)
{
    return std::all_of(net.nodes.begin(), net.nodes.end(), [&](const auto& viewer) {
        return viewer.get() == &other || viewer->crashed ||
               test_network::state_of(*viewer, other) == state;
    });
}

} // namespace

// A member crashes: its domain calls it dead within seconds, on a network that loses, doubles and
// reorders frames, and nobody who is alive is called dead.
Test(membership, a_crash_is_detected_without_false_positives)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        test_network net{seed};
        net.loss = 0.05;
        net.duplication = 0.1;
        net.max_delay = milliseconds{40};
        for (std::size_t i = 0; i < 24; ++i)
            net.add(i, 3);
        cr_assert(net.until([&] { return net.views_converged(); }, seconds{60}), "no full view");
        net.nodes[5]->crashed = true;
        cr_assert(net.until([&] { return all_report(net, *net.nodes[5], member_state::dead); },
                            seconds{60}),
                  "seed %lu: not all know of the death", seed);
        for (const auto& viewer : net.nodes) {
            for (const auto& other : net.nodes) {
                if (viewer != other && !viewer->crashed && !other->crashed)
                    cr_assert_neq(test_network::state_of(*viewer, *other), member_state::dead);
            }
        }
    }
}

// A VM is paused for minutes and returns as if nothing had happened. Its socket is full of old
// frames and it holds dead members for alive. It refutes its own death and blames nobody.
Test(membership, a_paused_node_rejoins)
{
    test_network net{7};
    for (std::size_t i = 0; i < 12; ++i)
        net.add(i, 2);
    cr_assert(net.until([&] { return net.views_converged(); }, seconds{30}));
    test_node& paused_node = *net.nodes[4];
    paused_node.paused = true;
    cr_assert(
        net.until([&] { return all_report(net, paused_node, member_state::dead); }, seconds{60}));
    net.run_for(minutes{3});
    net.resume(paused_node);
    cr_assert(net.until([&] { return net.views_converged(); }, seconds{30}));
    cr_assert_gt(paused_node.core.self().incarnation, 0U);
}

// Two halves of a failure domain lose each other until each holds the other for dead. When the
// network heals they must find each other again without an operator.
Test(membership, partitioned_halves_rejoin)
{
    test_network net{8};
    for (std::size_t i = 0; i < 8; ++i)
        net.add(i, 1);
    cr_assert(net.until([&] { return net.views_converged(); }, seconds{30}));
    const auto half = [](const test_node& node) { return node.core.self().address < "10.0.0.4"; };
    net.cut = [&](const test_node& a, const test_node& b) { return half(a) != half(b); };
    net.run_for(minutes{2});
    cr_assert_eq(test_network::state_of(*net.nodes[0], *net.nodes[7]), member_state::dead);
    net.cut = nullptr;
    cr_assert(net.until([&] { return net.views_converged(); }, seconds{60}));
}

// A failure domain is cut off for ten minutes. Its members are not dead, and nothing has to be
// refuted when it comes back.
Test(membership, a_partitioned_domain_is_not_declared_dead)
{
    test_network net{9};
    for (std::size_t i = 0; i < 15; ++i)
        net.add(i, 3);
    cr_assert(net.until([&] { return net.views_converged(); }, seconds{30}));
    const failure_domain_id lost{"domain-2"};
    net.cut = [&](const test_node& a, const test_node& b) {
        return (a.core.self().failure_domain == lost) != (b.core.self().failure_domain == lost);
    };
    net.run_for(minutes{10});
    cr_assert(net.views_converged());
}

// A VM is replaced: a new process with the old name and address starts with a later boot. It wins
// at once, and frames of the old process that still arrive change nothing.
Test(membership, a_restarted_node_supersedes_its_old_process)
{
    test_network net{10};
    for (std::size_t i = 0; i < 6; ++i)
        net.add(i, 1);
    cr_assert(net.until([&] { return net.views_converged(); }, seconds{30}));
    test_node& old = *net.nodes[3];
    old.crashed = true;
    const std::string address = old.core.self().address;
    test_node& fresh = net.add(3, 1, 2, address);
    fresh.core.add_seeds({net.nodes[0]->core.self().address});
    const auto known_as = [&](std::uint64_t boot) {
        return std::all_of(net.nodes.begin(), net.nodes.end(), [&](const auto& viewer) {
            if (viewer->crashed || viewer.get() == &fresh)
                return true;
            const member* known = viewer->core.members().find(fresh.core.self().node);
            return known != nullptr && known->boot == boot && known->state == member_state::alive;
        });
    };
    cr_assert(net.until([&] { return known_as(2); }, seconds{30}));
    // The old process wakes and pings: refused, and told that its name is taken.
    const std::uint64_t refused = net.nodes[0]->core.refused();
    membership_settings settings;
    settings.deployment = "test";
    settings.self = old.core.self();
    for (const auto& command : old.core.ping_nodes(net.now, {net.nodes[0]->core.self().node})) {
        const auto& frame = std::get<send_frame>(command);
        net.run(*net.nodes[0],
                net.nodes[0]->core.frame_received(net.now, old.core.self().node, frame.bytes));
    }
    cr_assert_gt(net.nodes[0]->core.refused(), refused);
    cr_assert(known_as(2));
}

// Another node gets the address of one that was replaced. Frames meant for the first are not
// answered in its name, so the first is found to be gone.
Test(membership, a_reused_address_does_not_answer_for_the_old_node)
{
    test_network net{11};
    for (std::size_t i = 0; i < 6; ++i)
        net.add(i, 1);
    cr_assert(net.until([&] { return net.views_converged(); }, seconds{30}));
    test_node& old = *net.nodes[2];
    old.crashed = true;
    test_node& new_owner = net.add(77, 1, 5, old.core.self().address);
    cr_assert(net.until([&] { return all_report(net, old, member_state::dead); }, seconds{60}));
    cr_assert(
        net.until([&] { return all_report(net, new_owner, member_state::alive); }, seconds{60}));
}

// A node says goodbye: its domain knows at once, without waiting for a suspicion.
Test(membership, leaving_is_known_within_100_ms)
{
    test_network net{12};
    for (std::size_t i = 0; i < 6; ++i)
        net.add(i, 1);
    cr_assert(net.until([&] { return net.views_converged(); }, seconds{30}));
    test_node& leaver = *net.nodes[1];
    net.run(leaver, leaver.core.leave(net.now));
    leaver.crashed = true;
    net.run_for(milliseconds{100});
    cr_assert(all_report(net, leaver, member_state::left));
}

// An operator drains a server. Every node of 90 in three domains must stop picking it within two
// seconds of the first that heard, though frames are lost.
Test(membership, a_leaving_server_is_known_everywhere_within_two_seconds)
{
    test_network net{13};
    net.loss = 0.02;
    for (std::size_t i = 0; i < 90; ++i)
        net.add(i, 3);
    cr_assert(net.until([&] { return net.views_converged(); }, minutes{3}));
    std::size_t heard = 0;
    for (const auto& node : net.nodes) {
        node->on_command = [&](const membership_command& command) {
            const auto* news = std::get_if<rumor_received>(&command);
            if (news != nullptr && std::holds_alternative<leaving>(news->item))
                ++heard;
        };
    }
    net.run(*net.nodes[40], net.nodes[40]->core.publish(net.now, leaving{"10.1.0.7:80", {}}));
    cr_assert(net.until([&] { return heard >= 89; }, seconds{2}), "only %zu of 89", heard);
}

// Guards against nodes that keep a server's limit after another node heard that it is lifted.
Test(membership, a_server_limit_and_its_removal_reach_all_nodes)
{
    test_network net{15};
    net.loss = 0.02;
    constexpr std::size_t nodes = 30;
    for (std::size_t i = 0; i < nodes; ++i)
        net.add(i, 3);
    cr_assert(net.until([&] { return net.views_converged(); }, minutes{3}));
    std::vector<std::optional<double>> known(nodes);
    for (std::size_t i = 0; i < nodes; ++i) {
        net.nodes[i]->on_command = [&known, i](const membership_command& command) {
            const auto* news = std::get_if<rumor_received>(&command);
            if (news == nullptr)
                return;
            if (const auto* limit = std::get_if<server_limit>(&news->item))
                known[i] = limit->per_second;
        };
    }
    const auto all_know = [&](std::optional<double> wanted) {
        return [&known, wanted] {
            const auto others = known.begin() + 1; // the first one published it
            return std::all_of(others, known.end(), [&](const auto& one) { return one == wanted; });
        };
    };
    test_node& first = *net.nodes[0];
    net.run(first, first.core.publish(net.now, server_limit{"i-1", 1.9, {}}));
    cr_assert(net.until(all_know(1.9), seconds{15}));
    net.run(first, first.core.publish(net.now, server_limit{"i-1", std::nullopt, {}}));
    cr_assert(net.until(all_know(std::nullopt), seconds{15}));
    net.run_for(seconds{30});
    cr_assert(all_know(std::nullopt)(), "an echo of the limit came back");
}

// A frame sat in a paused node's socket for a minute. The ticket that it brings must look a minute
// old, or a group that has lost a VM since would be served from.
Test(membership, a_delayed_frame_does_not_make_a_ticket_look_recent)
{
    test_network net{14};
    net.add(0, 1);
    net.add(1, 1);
    cr_assert(net.until([&] { return net.views_converged(); }, seconds{10}));
    duration seen{0};
    net.nodes[1]->on_command = [&](const membership_command& command) {
        const auto* news = std::get_if<rumor_received>(&command);
        if (news != nullptr)
            seen = std::get<ticket_digest>(news->item).age;
    };
    net.nodes[1]->paused = true;
    net.run(*net.nodes[0], net.nodes[0]->core.publish(
                               net.now, ticket_digest{1, fencing_number{5}, 100, true, {}}));
    net.run_for(seconds{90});
    net.nodes[0]->crashed = true;
    net.resume(*net.nodes[1]);
    cr_assert_geq(seen.count(), duration{seconds{50}}.count());
}

// Of two reports about one group in the same instant, the one that says it is not whole wins, and
// an older "whole" that arrives later does not bring it back.
Test(membership, an_incomplete_ticket_overrides_older_complete_ones)
{
    rumor_table table{{}};
    const time_point now{std::chrono::hours{1}};
    const ticket_digest whole{1, fencing_number{5}, 100, true, {}};
    ticket_digest gone = whole;
    gone.complete = false;
    cr_assert(table.insert_if_newer(whole, now, now, 10));
    cr_assert(table.insert_if_newer(gone, now - milliseconds{50}, now, 10));
    cr_assert_not(table.insert_if_newer(whole, now, now, 10));
    cr_assert_not(table.insert_if_newer(whole, now - seconds{5}, now, 10));
    cr_assert(table.insert_if_newer(whole, now + seconds{2}, now + seconds{2}, 10));
}

// A process of another deployment, or one that forges a name over TLS, changes nothing.
Test(membership, foreign_and_forged_frames_change_nothing)
{
    test_network net{15};
    net.add(0, 1);
    net.add(1, 1);
    cr_assert(net.until([&] { return net.views_converged(); }, seconds{10}));
    test_network other{16};
    test_node& foreign = other.add(5, 1, 9, "10.0.0.5:7100", "prod");
    foreign.core.add_seeds({net.nodes[0]->core.self().address});
    membership_core& core = net.nodes[0]->core;
    const std::size_t known = core.members().size();
    for (const auto& command : foreign.core.tick(net.now))
        (void)core.frame_received(net.now, {}, std::get<send_frame>(command).bytes);
    cr_assert_eq(core.members().size(), known);

    std::string genuine;
    for (const auto& command : net.nodes[1]->core.ping_nodes(net.now, {core.self().node}))
        genuine = std::get<send_frame>(command).bytes;
    const std::uint64_t refused = core.refused();
    cr_assert(core.frame_received(net.now, node_id{"entry-9"}, genuine).empty());
    for (std::size_t cut = 0; cut < genuine.size(); ++cut)
        (void)core.frame_received(net.now, {}, std::string_view{genuine}.substr(0, cut));
    cr_assert_gt(core.refused(), refused + genuine.size() / 2);
    cr_assert_eq(core.members().size(), known);
}

// A node of a later version adds a field and a kind of frame that this one does not know. The rest
// of the frame still counts, and an unknown kind is not answered.
Test(membership, frames_of_a_later_version_are_read)
{
    test_network net{17};
    net.add(0, 1);
    net.add(1, 1);
    cr_assert(net.until([&] { return net.views_converged(); }, seconds{10}));
    wire::frame frame;
    frame.version = 9;
    frame.deployment = static_cast<std::int32_t>(wire_key("test"));
    frame.kind = static_cast<wire::frame_kind::type>(99);
    frame.sender = "entry-1";
    frame.boot = 1;
    wire::config_digest digest;
    digest.revision = 12;
    frame.__set_config(digest);
    std::string bytes = encode_frame(frame);
    // Before the stop byte: field 19 + 11 = 30, a binary of three bytes, in the compact protocol.
    bytes.pop_back();
    bytes += std::string{"\x08\x3c\x03"
                         "abc\x00",
                         7};
    cr_assert(decode_frame(bytes).has_value());
    bool heard = false;
    for (const auto& command : net.nodes[0]->core.frame_received(net.now, {}, bytes)) {
        const auto* message = std::get_if<config_message>(&command);
        heard = heard || (message != nullptr &&
                          std::get<config_digest>(message->body).revision.value() == 12);
    }
    cr_assert(heard);
}

// Whatever there is to say, a node keeps to its bytes: 410 nodes, 200 groups, demand of ten
// workspaces in two pools from each node, and a configuration change each 26 s.
Test(membership, bytes_a_second_at_410_nodes_stay_in_budget)
{
    test_network net{18};
    for (std::size_t i = 0; i < 410; ++i)
        net.add(i, 5);
    net.run_for(seconds{90});
    const auto publish_all = [&] {
        for (std::uint32_t group = 0; group < 200; ++group) {
            test_node& watcher = *net.nodes[group * 2];
            net.run(
                watcher,
                watcher.core.publish(
                    net.now, ticket_digest{group * 7919U, fencing_number{100'000}, 500, true, {}}));
        }
        for (const auto& node : net.nodes) {
            for (std::uint32_t workspace = 0; workspace < 20; ++workspace)
                net.run(*node, node->core.publish(net.now,
                                                  demand{0, workspace % 2, workspace, 7, 3.0, {}}));
        }
    };
    for (const auto& node : net.nodes)
        node->bytes_sent = node->bytes_received = node->frames_sent = 0;
    constexpr int spans = 15;
    for (int span = 0; span < spans; ++span) {
        publish_all();
        if (span % 7 == 0) {
            test_node& first = *net.nodes[static_cast<std::size_t>(span)];
            net.run(first, first.core.config_installed(net.now, config_revision{span + 1}, false));
        }
        net.run_for(seconds{4});
    }
    constexpr double elapsed = spans * 4.0;
    constexpr double header_bytes = 102; // TLS record, TCP and IP headers of a frame
    double sum = 0;
    double most = 0;
    for (const auto& node : net.nodes) {
        const double rate = (static_cast<double>(node->bytes_sent) +
                             header_bytes * static_cast<double>(node->frames_sent)) /
                            elapsed;
        sum += rate;
        most = std::max(most, rate);
    }
    std::printf("bytes a second sent a node, headers included: mean %.0f, most %.0f\n", sum / 410.0,
                most);
    cr_assert_lt(sum / 410.0, 1500.0);
    cr_assert_lt(most, 3000.0);
}
