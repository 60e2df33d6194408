// Answers of servers that end inside their head: their bytes up to any position, then the end or
// the reset of the connection. A caller must not get a success from them.
#include "daemon/registry_fixture.h"

#include <criterion/criterion.h>

using namespace jaynotch;

namespace {

constexpr std::size_t more_bytes = 10'000; ///< than an answer has

struct broken_off {
    std::string path;
    bool unframed = false; ///< neither a length nor chunks
    bool reset = false;

    [[nodiscard]] std::string target(std::size_t bytes) const
    {
        return path + "?cut=" + std::to_string(bytes) + (unframed ? "&unframed=1" : "") +
               (reset ? "&reset=1" : "");
    }
};

/// Lets all servers break off their answers as the requests ask.
void break_off_by_query(const registry_fixture& fleet)
{
    for (const auto& server : fleet.servers)
        server->faults.cut_by_query = true;
}

/// Size of the head of an answer, from one that is whole.
std::size_t head_bytes(registry_fixture& fleet, std::size_t node, const broken_off& how)
{
    for (const auto& server : fleet.servers)
        server->head_bytes = 0;
    cr_assert_eq(fleet.served(node, how.target(more_bytes), 1), 1U);
    std::size_t bytes = 0;
    for (const auto& server : fleet.servers)
        bytes = std::max(bytes, server->head_bytes);
    return bytes;
}

/// Whether a server has begun to answer a request with this target.
bool was_run(const registry_fixture& fleet, const std::string& target)
{
    return std::any_of(fleet.servers.begin(), fleet.servers.end(), [&](const auto& server) {
        return std::any_of(server->ran.begin(), server->ran.end(),
                           [&](const received_request& one) { return one.target == target; });
    });
}

/// Sends the requests at once and checks that none is answered with success.
void check_none_succeeds(registry_fixture& fleet, std::size_t node,
                         const std::vector<std::string>& targets)
{
    std::vector<begun_request> requests;
    for (const std::string& target : targets)
        requests.push_back(fleet.begin(node, target));
    const auto ended = [](const begun_request& one) { return one.answer->ended; };
    cr_assert(
        fleet.run_until([&] { return std::all_of(requests.begin(), requests.end(), ended); }, 20s));
    for (std::size_t index = 0; index < targets.size(); ++index) {
        const received_answer& answer = *requests[index].answer;
        cr_expect_neq(to_status_class(answer.status), boost::beast::http::status_class::successful,
                      "%s: a success with %zu bytes", targets[index].c_str(), answer.body.size());
    }
}

/// Breaks off an answer at each byte of its head. Servers that fail are left alone for a while, so
/// this takes some rounds until one has answered each request.
void check_every_byte(registry_fixture& fleet, std::size_t node, const broken_off& how)
{
    const std::size_t head = head_bytes(fleet, node, how);
    cr_assert_gt(head, 100U);
    std::vector<std::string> targets;
    for (std::size_t bytes = 0; bytes < head; ++bytes)
        targets.push_back(how.target(bytes));
    // Behind its head an answer without a length ends with its connection, unless that is reset. A
    // stream has an event at least.
    const bool may_end_there = how.unframed && !how.reset && !how.path.starts_with("/chat/");
    if (may_end_there)
        cr_expect_eq(fleet.served(node, how.target(head), 1), 1U, "%s: an answer without a body",
                     how.path.c_str());
    else
        targets.push_back(how.target(head));
    constexpr int max_rounds = 20;
    for (int round = 0; round < max_rounds && !targets.empty(); ++round) {
        check_none_succeeds(fleet, node, targets);
        std::erase_if(targets, [&](const std::string& one) { return was_run(fleet, one); });
    }
    cr_expect(targets.empty(), "%zu requests reached no server", targets.size());
}

void check_all_forms(registry_fixture& fleet, std::size_t node, const std::string& path)
{
    break_off_by_query(fleet);
    for (const bool unframed : {false, true}) {
        for (const bool reset : {false, true})
            check_every_byte(fleet, node, {path, unframed, reset});
    }
}

} // namespace

// Guards against a truncated answer to a request that may be repeated, delivered as whole.
Test(truncated_head, of_an_answer_that_may_be_repeated)
{
    registry_fixture fleet{{.nodes = 1, .retry_extra = 1e6}};
    check_all_forms(fleet, 0, "/read/1");
}

// Guards against the same where the request may not be repeated.
Test(truncated_head, of_an_answer_that_may_not_be_repeated)
{
    registry_fixture fleet{{.nodes = 1, .retry_extra = 1e6}};
    check_all_forms(fleet, 0, "/order/1");
}

// Guards against the same for a stream of events.
Test(truncated_head, of_a_stream)
{
    registry_fixture fleet{{.nodes = 1, .retry_extra = 1e6}};
    check_all_forms(fleet, 0, "/chat/1");
}

// Guards against the same on a node that reaches no server and passes requests on to another.
Test(truncated_head, of_an_answer_through_another_node)
{
    registry_fixture fleet{{.nodes = 2, .retry_extra = 1e6}};
    fleet.cut(0);
    check_all_forms(fleet, 0, "/read/1");
    check_all_forms(fleet, 0, "/order/1");
    check_all_forms(fleet, 0, "/chat/1");
}
