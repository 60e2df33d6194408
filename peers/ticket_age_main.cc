// jaynotch-ticket-age: measures the age of the newest ticket of a group on nodes that receive it by
// gossip, for several fleet sizes. Uses the membership cores with an in-memory network and a
// simulated clock.
//
//   jaynotch-ticket-age            prints a markdown table with one row per fleet size
//
// Two watchers of each group publish its ticket every second, as the daemons do. Every second the
// age of each node's newest ticket of each group is sampled. Tickets older than 5 s count as
// expired on the node.
#include "peers/test_network.h"

#include <algorithm>
#include <cstdio>
#include <vector>

namespace {

using namespace jaynotch;
using jaynotch::testing::test_network;
using std::chrono::seconds;

struct fleet_size {
    std::size_t nodes;
    std::uint32_t groups;
};

constexpr std::size_t failure_domains = 5;
constexpr std::size_t watchers = 2;
constexpr int joined_s = 90; ///< time for the member tables to converge
constexpr int warm_up_s = 30;
constexpr int sampled_s = 30;
constexpr std::int64_t fencing = 100'000;

/// For each node and group, when the watcher observed the newest ticket that the node has.
using observation_times = std::vector<std::vector<time_point>>;

void publish_all(test_network& net, std::uint32_t groups, observation_times& observed)
{
    for (std::uint32_t group = 0; group < groups; ++group) {
        for (std::size_t watcher = 0; watcher < watchers; ++watcher) {
            const std::size_t index = (group * watchers + watcher) % net.nodes.size();
            auto& node = *net.nodes[index];
            observed[index][group] = net.now;
            const ticket_digest ticket{group, fencing_number{fencing}, 500, true, duration{0}};
            net.run(node, node.core.publish(net.now, ticket));
        }
    }
}

void watch_tickets(test_network& net, observation_times& observed)
{
    for (std::size_t i = 0; i < net.nodes.size(); ++i) {
        net.nodes[i]->on_command = [&net, &row = observed[i]](const membership_command& command) {
            const auto* received = std::get_if<rumor_received>(&command);
            const auto* ticket =
                received == nullptr ? nullptr : std::get_if<ticket_digest>(&received->item);
            if (ticket != nullptr && ticket->group < row.size())
                row[ticket->group] = std::max(row[ticket->group], net.now - ticket->age);
        };
    }
}

void measure(const fleet_size& size)
{
    test_network net{7};
    for (std::size_t i = 0; i < size.nodes; ++i)
        net.add(i, failure_domains);
    observation_times observed(size.nodes, std::vector<time_point>(size.groups, time_point{}));
    watch_tickets(net, observed);
    net.run_for(seconds{joined_s});
    std::vector<double> ages;
    for (int second = 0; second < warm_up_s + sampled_s; ++second) {
        publish_all(net, size.groups, observed);
        net.run_for(seconds{1});
        for (const auto& row : observed) {
            for (const time_point at : row) {
                if (second >= warm_up_s)
                    ages.push_back(std::chrono::duration<double>(net.now - at).count());
            }
        }
    }
    std::sort(ages.begin(), ages.end());
    const auto at = [&](double share) {
        return ages[static_cast<std::size_t>(share * static_cast<double>(ages.size() - 1))];
    };
    const auto expired = std::distance(std::upper_bound(ages.begin(), ages.end(), 5.0), ages.end());
    std::printf("| %zu | %u | %.1f | %.1f | %.1f | %.2f |\n", size.nodes, size.groups, at(0.5),
                at(0.99), at(0.999), 100.0 * static_cast<double>(expired) / ages.size());
    std::fflush(stdout);
}

} // namespace

int main()
{
    std::printf("| nodes | groups | age p50 s | p99 | p99.9 | older than 5 s, %% |\n"
                "| --- | --- | --- | --- | --- | --- |\n");
    for (const fleet_size& size :
         {fleet_size{4, 15}, fleet_size{32, 50}, fleet_size{128, 100}, fleet_size{410, 200}})
        measure(size);
}
