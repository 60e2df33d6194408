// Conversion of messages about backend servers, the store and runners to and from frames.
//
// A node that can't reach a backend server or the store asks its peers whether they can, so that a
// server is not declared dead because the path from a single node is broken. These are the indirect
// probes of SWIM (Das et al. 2002), applied to servers. Reports of runners are relayed to nodes
// that can't read the registry.
#include "peers/membership.h"

namespace jaynotch {

namespace {

/// Writes a message into a frame and returns the kind of the frame.
struct frame_writer {
    wire::frame& frame;

    wire::frame_kind::type operator()(const server_question& body) const
    {
        wire::server_question message;
        message.__set_vm(body.vm.value());
        message.__set_address(body.address);
        frame.__set_question(message);
        return wire::frame_kind::server_question;
    }
    wire::frame_kind::type operator()(const server_answer& body) const
    {
        wire::server_answer message;
        message.__set_vm(body.vm.value());
        message.__set_answers(body.answers);
        frame.__set_opinion(message);
        return wire::frame_kind::server_answer;
    }
    wire::frame_kind::type operator()(const runner_word& body) const
    {
        wire::runner_word message;
        message.__set_vm(body.vm.value());
        message.__set_born_ms(body.born_ms);
        message.__set_grouped(body.group.has_value());
        message.__set_model(body.model);
        if (body.group) {
            message.__set_group(body.group->group.value());
            message.__set_epoch(body.group->epoch);
            message.__set_rank(static_cast<std::int32_t>(body.group->rank));
            message.__set_phase(std::string{to_name(body.group->phase)});
        }
        frame.__set_runner(message);
        return wire::frame_kind::runner_word;
    }
    wire::frame_kind::type operator()(const store_question& body) const
    {
        wire::store_question message;
        message.__set_failure_domain(body.domain.value());
        message.__set_round(body.round);
        frame.__set_store_asked(message);
        return wire::frame_kind::store_question;
    }
    wire::frame_kind::type operator()(const store_answer& body) const
    {
        wire::store_answer message;
        message.__set_failure_domain(body.domain.value());
        message.__set_round(body.round);
        message.__set_reached(body.reached);
        frame.__set_store_told(message);
        return wire::frame_kind::store_answer;
    }
    wire::frame_kind::type operator()(const unresponsive_head& body) const
    {
        wire::unresponsive_head message;
        message.__set_vm(body.vm.value());
        frame.__set_silent(message);
        return wire::frame_kind::unresponsive_head;
    }
};

/// Returns nullopt if the phase is unknown to this version or the rank is negative.
std::optional<runner_word> parse_runner_report(const wire::runner_word& message)
{
    runner_word report{vm_id{message.vm}, message.born_ms, {}, message.model};
    if (!message.grouped)
        return report;
    const auto phase = from_name<member_phase>(message.phase);
    if (!phase || message.rank < 0)
        return std::nullopt;
    report.group = membership{group_id{message.group}, message.epoch,
                              static_cast<std::uint32_t>(message.rank), *phase};
    return report;
}

} // namespace

void membership_core::handle_server_messages(const wire::frame& frame, membership_commands& out)
{
    const node_id from{frame.sender};
    if (frame.__isset.question)
        out.emplace_back(server_message{
            from, server_question{vm_id{frame.question.vm}, frame.question.address}});
    if (frame.__isset.opinion)
        out.emplace_back(
            server_message{from, server_answer{vm_id{frame.opinion.vm}, frame.opinion.answers}});
    if (frame.__isset.runner) {
        if (const auto report = parse_runner_report(frame.runner))
            out.emplace_back(server_message{from, *report});
    }
    if (frame.__isset.store_asked)
        out.emplace_back(
            server_message{from, store_question{failure_domain_id{frame.store_asked.failure_domain},
                                                frame.store_asked.round}});
    if (frame.__isset.store_told)
        out.emplace_back(
            server_message{from, store_answer{failure_domain_id{frame.store_told.failure_domain},
                                              frame.store_told.round, frame.store_told.reached}});
    if (frame.__isset.silent)
        out.emplace_back(server_message{from, unresponsive_head{vm_id{frame.silent.vm}}});
}

membership_commands membership_core::send_server_message(time_point now, const node_id& to,
                                                         const server_body& body)
{
    membership_commands out;
    const member* known = m_members.find(to);
    if (known == nullptr)
        return out;
    const member peer = *known;
    wire::frame frame = make_frame(now, wire::frame_kind::server_question);
    frame.__set_kind(std::visit(frame_writer{frame}, body));
    send(now, peer, frame, out);
    return out;
}

} // namespace jaynotch
