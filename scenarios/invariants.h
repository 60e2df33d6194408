// What must hold after every scenario, whatever it did: judged from the accounts of the stand-ins
// and of the callers, never from what a daemon says of itself.
#pragma once

#include "load/load.h"
#include "standins/standins.h"

#include <string>
#include <vector>

namespace jaynotch {

/// One run of a request by a plain service.
struct plain_run {
    std::string key;
    std::string digest;
};

/// The accounts of both sides.
struct scenario_records {
    std::vector<plain_call_record> calls; ///< by callers
    std::vector<plain_run> runs; ///< by plain services, of requests other than GET and HEAD
    std::uint64_t partial_answers = 0;
    std::uint64_t wrong_answers = 0;
};

scenario_records collect_records(standin_fleet& fleet, std::vector<plain_call_record> calls,
                                 std::uint64_t wrong_answers);

/// What is violated, in words; empty if all holds:
/// - no answer was finished by a group that was not whole;
/// - no caller got an answer that was not its own, or not whole but looked so;
/// - no call that may not be repeated ran twice;
/// - no call that was told "did not run" ran;
/// - every call that got its answer ran.
std::vector<std::string> find_violations(const scenario_records& records);

} // namespace jaynotch
