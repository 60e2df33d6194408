// Typed errors, each with a message and a remedy. `ran_state` says for a failed request whether a
// backend server may have run it.
//
//   return error{error_kind::invalid_table, "pools.toml:7: replica_vms is 0", "write 1 or more"};
//
// Factories return result<T> (base/result.h); code that can't return one throws `exception`.
#pragma once

#include "base/names.h"

#include <stdexcept>
#include <string>

namespace jaynotch {

/// Category of an error. It determines the HTTP status and the exit code.
enum class error_kind {
    invalid_argument,  ///< a flag, a setting or a request is malformed
    invalid_table,     ///< routes or pools are malformed or inconsistent
    conflict,          ///< another writer committed first
    not_found,         ///< no such route, model, key or revision
    unauthorized,      ///< missing or unknown key or certificate
    too_large,         ///< exceeds a size limit
    rate_limited,      ///< exceeds a rate limit; retry later
    overloaded,        ///< no capacity before the deadline; retry later
    unavailable,       ///< the remote side is unreachable or not ready
    deadline_exceeded, ///< not finished before its deadline
    cancelled,         ///< the caller disconnected
    protocol,          ///< the remote side violated its protocol
    unknown_outcome,   ///< may have taken effect; must not be repeated blindly
    internal,          ///< a defect of this program
};

template <>
struct enum_names<error_kind> {
    static constexpr std::array entries{
        named{error_kind::invalid_argument, "invalid_argument"},
        named{error_kind::invalid_table, "invalid_table"},
        named{error_kind::conflict, "conflict"},
        named{error_kind::not_found, "not_found"},
        named{error_kind::unauthorized, "unauthorized"},
        named{error_kind::too_large, "too_large"},
        named{error_kind::rate_limited, "rate_limited"},
        named{error_kind::overloaded, "overloaded"},
        named{error_kind::unavailable, "unavailable"},
        named{error_kind::deadline_exceeded, "deadline_exceeded"},
        named{error_kind::cancelled, "cancelled"},
        named{error_kind::protocol, "protocol"},
        named{error_kind::unknown_outcome, "unknown_outcome"},
        named{error_kind::internal, "internal"},
    };
};

/// Whether a backend server ran the request. `no` is reported only if that is certain.
enum class ran_state { no, unknown, yes };

template <>
struct enum_names<ran_state> {
    static constexpr std::array entries{
        named{ran_state::no, "no"},
        named{ran_state::unknown, "unknown"},
        named{ran_state::yes, "yes"},
    };
};

struct error {
    error_kind kind = error_kind::internal;
    std::string message; ///< what went wrong, in one sentence
    std::string remedy;  ///< what the reader can do about it

    friend bool operator==(const error&, const error&) = default;
};

/// "kind: message; remedy".
std::string to_string(const error& failure);

/// Carries an error out of code that can't return a result.
class exception : public std::runtime_error {
public:
    explicit exception(error failure);
    [[nodiscard]] const error& failure() const noexcept { return m_failure; }

private:
    error m_failure;
};

} // namespace jaynotch
