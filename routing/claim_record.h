// What the key-value service holds for a keyed call: who claimed it, for which body, and what came
// of it. JSON, so that an operator can read it with any client of the service.
#pragma once

#include "routing/request_events.h"

#include <string>
#include <string_view>

namespace jaynotch {

/// How far a keyed call has come.
enum class claim_progress {
    claimed, ///< its creator may send it, may be sending it, or has died
    ran,     ///< it ran; the answer is here unless it was too large
    unknown, ///< it was sent and its outcome is lost
};

template <>
struct enum_names<claim_progress> {
    static constexpr std::array entries{
        named{claim_progress::claimed, "claimed"},
        named{claim_progress::ran, "ran"},
        named{claim_progress::unknown, "unknown"},
    };
};

/// Value of `claim/<key digest>`.
struct claim_record {
    std::string claimant; ///< "node/incarnation/number", unlike any other claim's
    std::string body_digest;
    claim_progress progress = claim_progress::claimed;
    std::optional<stored_answer> answer;

    friend bool operator==(const claim_record&, const claim_record&) = default;
};

std::string to_json(const claim_record& record);

/// Refuses with error_kind::protocol what is not a claim record.
result<claim_record> parse_claim_record(std::string_view text);

/// The key of a call: `/jaynotch/<deployment>/claim/<digest of workspace and idempotency key>`.
std::string claim_key(std::string_view deployment, const workspace_id& workspace,
                      std::string_view idempotency_key);

} // namespace jaynotch
