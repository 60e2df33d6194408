// Record of a keyed call in the key-value service: its claimant, the digest of its body, and its
// outcome. Stored as JSON, so that an operator can read it with any client of the service.
#pragma once

#include "routing/request_events.h"

#include <string>
#include <string_view>

namespace jaynotch {

/// State of a keyed call.
enum class claim_progress {
    claimed, ///< its creator may send it, may have sent it, or has died
    ran,     ///< it ran; the answer is in the record unless it was too large
    unknown, ///< it was sent, and its outcome is unknown
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
    std::string claimant; ///< "node/incarnation/number", unique to this claim
    std::string body_digest;
    claim_progress progress = claim_progress::claimed;
    std::optional<stored_answer> answer;

    friend bool operator==(const claim_record&, const claim_record&) = default;
};

std::string to_json(const claim_record& record);

/// Fails with error_kind::protocol if `text` is not a claim record.
result<claim_record> parse_claim_record(std::string_view text);

/// Key of a call's record:
/// `/jaynotch/<deployment>/claim/<digest of workspace and idempotency key>`.
std::string claim_key(std::string_view deployment, const workspace_id& workspace,
                      std::string_view idempotency_key);

} // namespace jaynotch
