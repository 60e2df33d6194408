#include "services/services.h"

#include <criterion/criterion.h>

using namespace jaynotch;

namespace {

/// Parses truncated and randomly changed copies of a valid body. Each must give an error or a
/// value, and each truncated JSON object must give an error.
template <class Parse>
void parse_corrupted(const std::string& good, Parse parse)
{
    for (std::size_t length = 0; length < good.size(); ++length)
        cr_assert(!parse(good.substr(0, length)));
    random_source random{3};
    for (int round = 0; round < 2'000; ++round) {
        std::string bad = good;
        for (std::size_t flips = 1 + random.index(4); flips > 0; --flips)
            bad[random.index(bad.size())] = static_cast<char>(random.index(256));
        (void)parse(bad);
    }
}

} // namespace

Test(wire, corrupted_bodies_are_parsed_or_refused)
{
    parse_corrupted(
        R"({"header":{"revision":"7"},"succeeded":true,"responses":[{"response_range":{"kvs":[)"
        R"({"key":"YQ==","value":"Yg==","create_revision":"3","mod_revision":"7"}]}}]})",
        [](const std::string& body) { return bool(parse_kv_outcome(body)); });
    parse_corrupted(
        R"({"result":{"header":{"revision":"7"},"events":[{"type":"DELETE","kv":{"key":"YQ=="}}]}})",
        [](const std::string& body) { return bool(parse_kv_watch(body)); });
    engine_report report;
    report.vm = vm_id{"vm-1"};
    report.boot = "b";
    report.members = {"127.0.0.1:1", "127.0.0.1:2"};
    parse_corrupted(render_engine_report(report),
                    [](const std::string& body) { return bool(parse_engine_report(body)); });
    vm_list list;
    list.vms.push_back({.vm = vm_id{"vm-1"}, .address = "127.0.0.1:1"});
    parse_corrupted(render_vm_list(list),
                    [](const std::string& body) { return bool(parse_vm_list(body)); });
}

Test(wire, report_fields_out_of_range_are_refused)
{
    const auto with = [](const std::string& member) {
        return parse_engine_report(R"({"vm":"v","boot":"b","state":"ready",)" + member + "}");
    };
    cr_assert(with(R"("progress":0.5)"));
    for (const char* member :
         {R"("progress":1.5)", R"("progress":-0.1)", R"("kv_used":"full")", R"("running":-1)",
          R"("rank":99999999999)", R"("members":[1])", R"("fencing":1.5)", R"("step_ms":1e999)"})
        cr_assert(!with(member), "%s was accepted", member);
    cr_assert(!parse_engine_report(R"({"vm":"v","boot":"b","state":"sleeping"})"));
    cr_assert(!parse_engine_report(R"({"vm":"v","state":"ready"})"));
}

// Two rows for one VM would add it to the records of two fabric domains, and so to two groups.
Test(wire, a_vm_list_with_a_duplicate_vm_is_refused)
{
    const std::string row = R"({"vm":"v1","address":"127.0.0.1:1","state":"live"})";
    cr_assert(parse_vm_list(R"({"as_of_ms":1,"vms":[)" + row + "]}"));
    cr_assert(!parse_vm_list(R"({"as_of_ms":1,"vms":[)" + row + "," + row + "]}"));
}

Test(wire, prefix_end_is_the_first_key_after_the_prefix)
{
    cr_assert_eq(prefix_end("a/"), "a0");
    cr_assert_eq(prefix_end("a\xff"), "b");
    cr_assert_eq(prefix_end("\xff\xff"), std::string(1, '\0'));
}

// Compares the store with a simple model: a map, and the revision of each key's last write.
Test(kv_store, matches_a_map_model)
{
    kv_store store;
    std::map<std::string, std::string> model;
    std::map<std::string, std::int64_t> written;
    random_source random{5};
    for (int step = 0; step < 3'000; ++step) {
        const std::string key(1, static_cast<char>('a' + random.index(6)));
        kv_transaction transaction;
        const std::int64_t guess = random.chance(0.6) ? written[key] : random.between(0, 50);
        transaction.compares.push_back({key, guess});
        const bool removes = random.chance(0.3);
        if (removes)
            transaction.then.push_back(kv_delete{key});
        else
            transaction.then.push_back(kv_put{key, std::to_string(step), {}});
        const kv_outcome outcome = store.transact(transaction).value();
        cr_assert_eq(outcome.succeeded, guess == written[key]);
        if (outcome.succeeded) {
            if (removes)
                model.erase(key);
            else
                model[key] = std::to_string(step);
            written[key] = removes ? 0 : outcome.revision;
        }
    }
    const auto entries = store.with_prefix("");
    cr_assert_eq(entries.size(), model.size());
    for (const auto& entry : entries)
        cr_assert_eq(model.at(entry.key), entry.value);
    std::map<std::string, std::string> replayed;
    const std::int64_t oldest = 1;
    const auto history = store.changes("", oldest);
    for (const auto& event : history.value()) {
        if (event.deleted)
            replayed.erase(event.entry.key);
        else
            replayed[event.entry.key] = event.entry.value;
    }
    cr_assert(replayed == model);
}

// Each long poll costs the store the same, however many changes it returns. While hundreds of
// entries change at once, a watch with a constant pause between polls would call many times a
// second.
Test(watch_pace, the_pause_grows_with_the_changes_up_to_a_bound)
{
    using std::chrono::milliseconds;
    const watch_pace pace{.batch_delay = milliseconds{100},
                          .batch_delay_per_change = milliseconds{10},
                          .max_batch_delay = milliseconds{800}};
    cr_assert(pace.pause_after(1) == milliseconds{110});
    cr_assert(pace.pause_after(500) == milliseconds{800});
    cr_assert(watch_pace{}.pause_after(500) == watch_pace{}.batch_delay);
}
