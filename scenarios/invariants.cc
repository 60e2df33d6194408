#include "scenarios/invariants.h"

#include <map>

// Calls are identified by their idempotency key or, without one, by the digest of their body, which
// is unique in a scenario. Calls with the same key are checked together: nothing may have run only
// if every one of them was refused as not run.

namespace jaynotch {

namespace {

struct call_counts {
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

scenario_records collect_records(standin_fleet& fleet, std::vector<plain_call_record> calls,
                                 std::uint64_t wrong_answers)
{
    scenario_records records;
    records.calls = std::move(calls);
    records.wrong_answers = wrong_answers;
    for (std::size_t index = 0; index < fleet.engine_count(); ++index) {
        for (const auto& run : fleet.engine(index).executions())
            records.partial_answers += run.partial ? 1 : 0;
    }
    for (std::size_t index = 0; index < fleet.plain_count(); ++index) {
        for (const auto& run : fleet.plain(index).executions()) {
            if (run.method != "GET" && run.method != "HEAD")
                records.runs.push_back({run.key, run.digest});
        }
    }
    return records;
}

std::vector<std::string> find_violations(const scenario_records& records)
{
    std::vector<std::string> problems;
    if (records.partial_answers > 0)
        problems.push_back(std::to_string(records.partial_answers) +
                           " answers came from an incomplete group");
    if (records.wrong_answers > 0)
        problems.push_back(std::to_string(records.wrong_answers) +
                           " answers looked complete but were not the caller's");
    std::map<std::string, call_counts> rows;
    for (const auto& record : records.calls) {
        if (record.call.method == "GET" || record.call.method == "HEAD")
            continue;
        call_counts& row = rows[identity(record.call.key, content_digest(record.call.body))];
        ++row.calls;
        row.refused_not_run += record.result.outcome == call_outcome::refused_not_run ? 1 : 0;
        row.whole += record.result.outcome == call_outcome::whole ? 1 : 0;
    }
    for (const auto& run : records.runs)
        ++rows[identity(run.key, run.digest)].runs;
    for (const auto& [name, row] : rows) {
        if (row.runs > 1)
            problems.push_back(name + " ran " + std::to_string(row.runs) + " times");
        if (row.runs > 0 && row.calls > 0 && row.refused_not_run == row.calls)
            problems.push_back(name + " ran although it was refused as not run");
        if (row.runs == 0 && row.whole > 0)
            problems.push_back(name + " was answered but never ran");
    }
    return problems;
}

} // namespace jaynotch
