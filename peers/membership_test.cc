#include "peers/store_followers.h"
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

// On a network that loses, duplicates and reorders frames, all nodes must declare a crashed member
// dead, and no live one.
Test(membership, a_crash_is_detected_without_false_positives)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        test_network net{seed};
        net.loss = 0.05;
        net.duplication = 0.1;
        net.max_delay = milliseconds{40};
        for (std::size_t i = 0; i < 24; ++i)
            net.add(i, 3);
        cr_assert(net.until([&] { return net.views_converged(); }, seconds{60}),
                  "member tables did not converge");
        net.nodes[5]->crashed = true;
        cr_assert(net.until([&] { return all_report(net, *net.nodes[5], member_state::dead); },
                            seconds{60}),
                  "seed %lu: not all nodes detected the crash", seed);
        for (const auto& viewer : net.nodes) {
            for (const auto& other : net.nodes) {
                if (viewer != other && !viewer->crashed && !other->crashed)
                    cr_assert_neq(test_network::state_of(*viewer, *other), member_state::dead);
            }
        }
    }
}

// Guards against false reports by a VM that was paused for minutes: its socket is full of old
// frames and its table is outdated. It must refute its own death and not declare others dead.
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

// During a partition of a failure domain each half declares the other dead. After the partition
// they must rejoin without an operator, which needs probes of dead members.
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

// A failure domain is partitioned from the others for ten minutes. Its members must not be declared
// dead.
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

// A VM is replaced: a new process starts with the same name and address and a higher boot number.
// It must supersede the old one, and frames of the old process must be rejected.
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
    // A ping of the old process is rejected.
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

// Another node gets the address of one that crashed. It must not answer frames for the crashed
// node, which would otherwise stay alive in all tables.
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

// A node that leaves must be known to have left at once, without a suspicion.
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

// An operator drains a server. All 90 nodes in three domains must know it within two seconds after
// the first one, although frames are lost.
Test(membership, a_leaving_server_is_known_everywhere_within_two_seconds)
{
    test_network net{13};
    net.loss = 0.02;
    for (std::size_t i = 0; i < 90; ++i)
        net.add(i, 3);
    cr_assert(net.until([&] { return net.views_converged(); }, minutes{3}));
    std::size_t receivers = 0;
    for (const auto& node : net.nodes) {
        node->on_command = [&](const membership_command& command) {
            const auto* received = std::get_if<rumor_received>(&command);
            if (received != nullptr && std::holds_alternative<leaving>(received->item))
                ++receivers;
        };
    }
    net.run(*net.nodes[40], net.nodes[40]->core.publish(net.now, leaving{"10.1.0.7:80", {}}));
    cr_assert(net.until([&] { return receivers >= 89; }, seconds{2}),
              "received by only %zu of 89 nodes", receivers);
}

// Guards against nodes that keep a server's rate limit after it was lifted.
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
            const auto* received = std::get_if<rumor_received>(&command);
            if (received == nullptr)
                return;
            if (const auto* limit = std::get_if<server_limit>(&received->item))
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
    cr_assert(all_know(std::nullopt)(), "an outdated limit was accepted");
}

// Guards against nodes that go on sending what other nodes have seen servers end under.
Test(membership, content_notices_reach_all_nodes_in_two_seconds)
{
    test_network net{17};
    net.loss = 0.02;
    constexpr std::size_t nodes = 30;
    for (std::size_t i = 0; i < nodes; ++i)
        net.add(i, 3);
    cr_assert(net.until([&] { return net.views_converged(); }, minutes{3}));
    using fact = content_notice::fact;
    const std::vector<content_notice> published{
        {0xfedcba9876543210, fact::server_ended, 0xfffffff0, {}, {}},
        {0xfedcba9876543210, fact::server_ended, 7, {}, {}},
        {0xfedcba9876543210, fact::blocked, 0, seconds{3}, {}},
        {5, fact::served, 0, {}, {}}};
    std::vector<std::size_t> known(nodes);
    for (std::size_t i = 0; i < nodes; ++i) {
        net.nodes[i]->on_command = [&, i](const membership_command& command) {
            const auto* received = std::get_if<rumor_received>(&command);
            const auto* notice =
                received == nullptr ? nullptr : std::get_if<content_notice>(&received->item);
            if (notice == nullptr)
                return;
            const auto same = [&](const content_notice& each) {
                return each.content == notice->content && each.what == notice->what &&
                       each.server == notice->server && each.since_end == notice->since_end;
            };
            known[i] += std::any_of(published.begin(), published.end(), same) ? 1 : 0;
        };
    }
    test_node& first = *net.nodes[0];
    for (const content_notice& each : published)
        net.run(first, first.core.publish(net.now, each));
    const auto all_know = [&] {
        const auto others = known.begin() + 1; // the first one published them
        return std::all_of(others, known.end(),
                           [&](std::size_t count) { return count == published.size(); });
    };
    cr_assert(net.until(all_know, seconds{2}));
}

// Guards against a report of a silent group that gets lost in the frame: it must reach the
// manager's node with the head's name.
Test(membership, a_report_of_an_unresponsive_head_reaches_its_receiver)
{
    test_network net{16};
    for (std::size_t i = 0; i < 3; ++i)
        net.add(i, 3);
    cr_assert(net.until([&] { return net.views_converged(); }, minutes{1}));
    test_node& reporter = *net.nodes[1];
    test_node& manager = *net.nodes[2];
    std::vector<vm_id> heard;
    manager.on_command = [&](const membership_command& command) {
        const auto* message = std::get_if<server_message>(&command);
        if (message == nullptr)
            return;
        if (const auto* report = std::get_if<unresponsive_head>(&message->body))
            heard.push_back(report->vm);
    };
    const node_id& to = manager.core.self().node;
    net.run(reporter,
            reporter.core.send_server_message(net.now, to, unresponsive_head{vm_id{"i-7"}}));
    net.run_for(seconds{1});
    cr_assert(heard == std::vector{vm_id{"i-7"}});
}

// A frame waits in a paused node's socket for a minute. Its ticket must get an age of about a
// minute. Otherwise requests would go to a group that may have lost a VM since.
Test(membership, a_delayed_frame_does_not_make_a_ticket_look_recent)
{
    test_network net{14};
    net.add(0, 1);
    net.add(1, 1);
    cr_assert(net.until([&] { return net.views_converged(); }, seconds{10}));
    duration ticket_age{0};
    net.nodes[1]->on_command = [&](const membership_command& command) {
        const auto* received = std::get_if<rumor_received>(&command);
        if (received != nullptr)
            ticket_age = std::get<ticket_digest>(received->item).age;
    };
    net.nodes[1]->paused = true;
    net.run(*net.nodes[0], net.nodes[0]->core.publish(
                               net.now, ticket_digest{1, fencing_number{5}, 100, true, {}}));
    net.run_for(seconds{90});
    net.nodes[0]->crashed = true;
    net.resume(*net.nodes[1]);
    cr_assert_geq(ticket_age.count(), duration{seconds{50}}.count());
}

// Of two tickets of a group from about the same time, the incomplete one must be kept, and an older
// complete one that arrives later must be ignored.
Test(membership, an_incomplete_ticket_overrides_older_complete_ones)
{
    rumor_table table{{}};
    const time_point now{std::chrono::hours{1}};
    const ticket_digest complete_ticket{1, fencing_number{5}, 100, true, {}};
    ticket_digest incomplete_ticket = complete_ticket;
    incomplete_ticket.complete = false;
    cr_assert(table.insert_if_newer(complete_ticket, now, now, 10));
    cr_assert(table.insert_if_newer(incomplete_ticket, now - milliseconds{50}, now, 10));
    cr_assert_not(table.insert_if_newer(complete_ticket, now, now, 10));
    cr_assert_not(table.insert_if_newer(complete_ticket, now - seconds{5}, now, 10));
    cr_assert(table.insert_if_newer(complete_ticket, now + seconds{2}, now + seconds{2}, 10));
}

// Frames of another deployment, frames whose sender does not match the certificate, and truncated
// frames must change nothing.
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

// A node of a newer version sends a frame with an unknown field and kind. Its known fields must
// still be processed.
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
    // Adds field 30, a binary of three bytes in the compact protocol, before the stop byte.
    bytes.pop_back();
    bytes += std::string{"\x08\x3c\x03"
                         "abc\x00",
                         7};
    cr_assert(decode_frame(bytes).has_value());
    bool digest_received = false;
    for (const auto& command : net.nodes[0]->core.frame_received(net.now, {}, bytes)) {
        const auto* message = std::get_if<config_message>(&command);
        digest_received =
            digest_received ||
            (message != nullptr && std::get<config_digest>(message->body).revision.value() == 12);
    }
    cr_assert(digest_received);
}

// A large fleet starts at once, and each node is given the same three seeds. Guards against nodes
// that know only a few of their failure domain for a minute: each of them takes itself for a
// follower of the store, and pushes to the others what they get already.
Test(membership, a_fleet_that_starts_at_once_knows_its_failure_domains_soon)
{
    constexpr std::size_t nodes = 300;
    constexpr std::size_t domains = 3;
    constexpr seconds recovery_time{12}; ///< allowed after a start of all nodes
    test_network net{7};
    for (std::size_t index = 0; index < nodes; ++index)
        net.add(index, domains);
    std::vector<std::string> seeds;
    for (std::size_t index = 0; index < domains; ++index)
        seeds.push_back(net.nodes[index]->core.self().address);
    for (const auto& node : net.nodes)
        node->core.add_seeds(seeds);
    const auto is_follower = [](const auto& node) {
        std::vector<node_id> own_domain{node->core.self().node};
        for (const member& other : node->core.members().all()) {
            if (other.live() && other.failure_domain == node->core.self().failure_domain)
                own_domain.push_back(other.node);
        }
        const store_followers_settings settings{.self = node->core.self().node};
        store_followers ranking{settings};
        ranking.members_changed(own_domain);
        return ranking.rank() < settings.followers;
    };
    net.run_for(recovery_time);
    const auto followers = std::count_if(net.nodes.begin(), net.nodes.end(), is_follower);
    cr_assert_leq(followers, 2 * 2 * static_cast<std::ptrdiff_t>(domains),
                  "%ld nodes take themselves for followers", followers);
}

// Guards the budget of bytes per second (membership.h) with 410 nodes, 200 groups, 20 demand
// reports from each node, and a configuration change every 28 s.
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
    double highest = 0;
    for (const auto& node : net.nodes) {
        const double rate = (static_cast<double>(node->bytes_sent) +
                             header_bytes * static_cast<double>(node->frames_sent)) /
                            elapsed;
        sum += rate;
        highest = std::max(highest, rate);
    }
    std::printf("bytes per second sent per node, headers included: mean %.0f, highest %.0f\n",
                sum / 410.0, highest);
    cr_assert_lt(sum / 410.0, 1500.0);
    cr_assert_lt(highest, 3000.0);
}
