// Typed errors. An error says what went wrong, what the reader can do about it, and, where it
// concerns a request, whether a backend server may have run it.
//
//   return error{error_kind::invalid_table, "pools.toml:7: replica_vms is 0", "write 1 or more"};
//
// Factories return result<T> (base/result.h); code that can't return one throws `exception`.
#pragma once

#include "base/names.h"

#include <stdexcept>
#include <string>

namespace jaynotch {

/// What kind of thing went wrong. The kind decides the HTTP status and the exit code.
enum class error_kind {
    invalid_argument,  ///< a flag, a setting or a request is malformed
    invalid_table,     ///< routes or pools do not parse, check or join
    conflict,          ///< another writer was first
    not_found,         ///< no such route, model, key or revision
    unauthorized,      ///< no or a foreign key or certificate
    too_large,         ///< over a stated size
    rate_limited,      ///< over a stated rate; come back later
    overloaded,        ///< no capacity before the deadline; come back later
    unavailable,       ///< the other side can't be reached or is not ready
    deadline_exceeded, ///< time ran out
    cancelled,         ///< the caller went away
    protocol,          ///< the other side broke its protocol
    unknown_outcome,   ///< it may have happened and must not be repeated blindly
    internal,          ///< a defect of ours
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

/// Whether a backend server ran the request. `no` is said only when it is certain.
enum class ran_state { no, unknown, yes };

template <>
struct enum_names<ran_state> {
    static constexpr std::array entries{
        named{ran_state::no, "no"},
        named{ran_state::unknown, "unknown"},
        named{ran_state::yes, "yes"},
    };
};

/// An error as a value.
struct error {
    error_kind kind = error_kind::internal;
    std::string message; ///< what went wrong, in one sentence
    std::string remedy;  ///< what the reader can do about it

    friend bool operator==(const error&, const error&) = default;
};

/// "kind: message; remedy".
std::string to_string(const error& failure);

/// An error as an exception, for code that has no result to return.
class exception : public std::runtime_error {
public:
    explicit exception(error failure);
    [[nodiscard]] const error& failure() const noexcept { return m_failure; }

private:
    error m_failure;
};

} // namespace jaynotch
