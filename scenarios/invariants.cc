#include "scenarios/invariants.h"

#include <map>

// Calls are known by key where they have one, otherwise by the digest of their body, which every
// scenario makes unique. A key that several calls used is told apart by the outcomes of all: only
// if each of them was refused as not run must nothing have run.

namespace jaynotch {

namespace {

struct call_row {
    std::uint64_t calls = 0;
    std::uint64_t refused_not_run = 0;
    std::uint64_t whole = 0;
    std::uint64_t runs = 0;
};

std::string identity(const std::string& key, const std::string& digest)
{
    return key.empty() ? "body " + digest : "key " + key;
}

} // namespace

scenario_accounts accounts_of(standin_fleet& fleet, std::vector<plain_call_record> calls,
                              std::uint64_t wrong_answers)
{
    scenario_accounts accounts;
    accounts.calls = std::move(calls);
    accounts.wrong_answers = wrong_answers;
    for (std::size_t index = 0; index < fleet.engine_count(); ++index) {
        for (const auto& run : fleet.engine(index).executions())
            accounts.partial_answers += run.partial ? 1 : 0;
    }
    for (std::size_t index = 0; index < fleet.plain_count(); ++index) {
        for (const auto& run : fleet.plain(index).executions()) {
            if (run.method != "GET" && run.method != "HEAD")
                accounts.runs.push_back({run.key, run.digest});
        }
    }
    return accounts;
}

std::vector<std::string> violated(const scenario_accounts& accounts)
{
    std::vector<std::string> problems;
    if (accounts.partial_answers > 0)
        problems.push_back(std::to_string(accounts.partial_answers) +
                           " answers came from a group that was not whole");
    if (accounts.wrong_answers > 0)
        problems.push_back(std::to_string(accounts.wrong_answers) +
                           " answers looked whole and were not the caller's");
    std::map<std::string, call_row> rows;
    for (const auto& made : accounts.calls) {
        if (made.call.method == "GET" || made.call.method == "HEAD")
            continue;
        call_row& row = rows[identity(made.call.key, content_digest(made.call.body))];
        ++row.calls;
        row.refused_not_run += made.result.outcome == call_outcome::refused_not_run ? 1 : 0;
        row.whole += made.result.outcome == call_outcome::whole ? 1 : 0;
    }
    for (const auto& run : accounts.runs)
        ++rows[identity(run.key, run.digest)].runs;
    for (const auto& [name, row] : rows) {
        if (row.runs > 1)
            problems.push_back(name + " ran " + std::to_string(row.runs) + " times");
        if (row.runs > 0 && row.calls > 0 && row.refused_not_run == row.calls)
            problems.push_back(name + " ran although its caller was told that it did not");
        if (row.runs == 0 && row.whole > 0)
            problems.push_back(name + " was answered and never ran");
    }
    return problems;
}

} // namespace jaynotch
