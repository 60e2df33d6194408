// A second opinion on a backend server: a node that gets no answer from one asks its peers whether
// they do. A server that is cut off from one node only must not be taken for dead (the indirect
// probes of SWIM, Das et al. 2002, put to servers instead of members).
#include "peers/membership.h"

namespace jaynotch {

void membership_core::take_servers(const wire::frame& frame, membership_commands& out)
{
    const node_id from{frame.sender};
    if (frame.__isset.question)
        out.emplace_back(server_message{
            from, server_question{vm_id{frame.question.vm}, frame.question.address}});
    if (frame.__isset.opinion)
        out.emplace_back(
            server_message{from, server_answer{vm_id{frame.opinion.vm}, frame.opinion.answers}});
}

membership_commands membership_core::send_server(time_point now, const node_id& to,
                                                 const server_body& body)
{
    membership_commands out;
    const member* known = m_members.find(to);
    if (known == nullptr)
        return out;
    const member peer = *known;
    if (const auto* question = std::get_if<server_question>(&body)) {
        wire::frame frame = make_frame(now, wire::frame_kind::server_question);
        wire::server_question asked;
        asked.__set_vm(question->vm.value());
        asked.__set_address(question->address);
        frame.__set_question(asked);
        send(now, peer, frame, out);
    }
    else {
        const auto& answer = std::get<server_answer>(body);
        wire::frame frame = make_frame(now, wire::frame_kind::server_answer);
        wire::server_answer told;
        told.__set_vm(answer.vm.value());
        told.__set_answers(answer.answers);
        frame.__set_opinion(told);
        send(now, peer, frame, out);
    }
    return out;
}

} // namespace jaynotch
