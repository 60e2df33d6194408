// Answers of servers that have neither a length nor chunks and end with their connection.
#include "daemon/registry_fixture.h"

#include <criterion/criterion.h>

using namespace jaynotch;

namespace {

void send_unframed_answers(const registry_fixture& fleet)
{
    for (const auto& server : fleet.servers)
        server->faults.unframed = true;
}

} // namespace

// Guards against whole answers that count as broken because they end with their connection.
Test(unframed_answers, an_answer_without_a_length_is_delivered)
{
    registry_fixture fleet{{.nodes = 1}};
    send_unframed_answers(fleet);
    cr_assert_eq(fleet.served(0, "/read/1", 5), 5U);
    cr_assert_eq(fleet.served(0, "/chat/1", 5), 5U);
    cr_assert_eq(fleet.executions(), 10U, "each runs once");
}

// Guards against a stream that ends inside an event and is taken for whole.
Test(unframed_answers, a_stream_that_ends_inside_an_event_goes_on_at_another_server)
{
    registry_fixture fleet{{.nodes = 1, .retry_window = 100ms}};
    send_unframed_answers(fleet);
    for (const auto& head : fleet.heads())
        head->faults.partial_after = 4;
    const result<http_response> answer = fleet.ask(0, "/chat/1");
    cr_assert(answer);
    cr_assert_eq(fleet.executions(), 2U);
    for (int id = 1; id <= 6; ++id) {
        const std::string event = "id: " + std::to_string(id) + "\n";
        const std::size_t at = answer.value().body.find(event);
        cr_assert_neq(at, std::string::npos, "event %d is missing", id);
        cr_assert_eq(answer.value().body.find(event, at + 1), std::string::npos, "twice");
    }
}

// Guards against an answer that is reset on its way and is taken for whole.
Test(unframed_answers, an_answer_that_is_reset_is_not_whole)
{
    registry_fixture fleet{{.nodes = 1, .gap = 100ms}};
    send_unframed_answers(fleet);
    const begun_request stream = fleet.begin(0, "/chat/1");
    cr_assert(fleet.run_until([&] { return fleet.executions() == 1; }));
    fleet.run(250ms);
    for (const auto& server : fleet.servers)
        server->stop();
    cr_assert(fleet.run_until([&] { return stream.answer->ended; }));
    cr_assert_not(stream.answer->complete);
}
