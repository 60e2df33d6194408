// The invariants that are checked after every scenario. They are checked against the records of the
// stand-ins and of the callers, never against what a daemon reports about itself.
#pragma once

#include "load/load.h"
#include "standins/standins.h"

#include <string>
#include <vector>

namespace jaynotch {

/// One execution of a request by a plain service.
struct plain_run {
    std::string key;
    std::string digest;
};

/// The records of the callers and of the services.
struct scenario_records {
    std::vector<plain_call_record> calls; ///< callers' requests to plain services
    std::vector<plain_run> runs;          ///< by plain services; without GET and HEAD
    std::uint64_t partial_answers = 0;    ///< finished by engines of an incomplete group
    std::uint64_t wrong_answers = 0;      ///< received by callers
};

/// Combines the callers' records with those of the fleet's engines and plain services.
scenario_records collect_records(standin_fleet& fleet, std::vector<plain_call_record> calls,
                                 std::uint64_t wrong_answers);

/// Describes each violation; empty if all invariants hold:
/// - no answer was finished by an incomplete group;
/// - no caller got another caller's answer, or a truncated answer framed as complete;
/// - no call that must not be repeated ran twice;
/// - no call that was refused as not run has run;
/// - every call that got an answer has run.
std::vector<std::string> find_violations(const scenario_records& records);

} // namespace jaynotch
