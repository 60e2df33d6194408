#include "base/base.h"

#include <criterion/criterion.h>

using namespace jaynotch;

Test(names, round_trip)
{
    for (const auto& entry : enum_names<error_kind>::entries) {
        cr_assert(from_name<error_kind>(to_name(entry.value)) == entry.value);
    }
    cr_assert(!from_name<error_kind>("no such kind"));
}

Test(result, value_of_an_error_throws)
{
    const result<int> failed = error{error_kind::conflict, "row taken", "fetch and edit again"};
    cr_assert(!failed);
    bool thrown = false;
    try {
        (void)failed.value();
    }
    catch (const exception& raised) {
        thrown = raised.failure().kind == error_kind::conflict;
    }
    cr_assert(thrown);
}

Test(clock, pauses_and_advances)
{
    runtime_clock::pause();
    const time_point before = runtime_clock::now();
    cr_assert(runtime_clock::now() == before);
    runtime_clock::advance(std::chrono::hours{1});
    cr_assert(runtime_clock::now() - before == std::chrono::hours{1});
    runtime_clock::resume();
    cr_assert(runtime_clock::now() >= before + std::chrono::hours{1});
}

Test(clock, a_timer_fires_on_advance_without_waiting)
{
    runtime_clock::pause();
    boost::asio::io_context io;
    timer wait{io, std::chrono::hours{1}};
    bool fired = false;
    wait.async_wait([&](const boost::system::error_code& ec) { fired = !ec; });
    io.run_for(std::chrono::milliseconds{20});
    cr_assert(!fired);
    runtime_clock::advance(std::chrono::hours{1});
    io.run_for(std::chrono::milliseconds{200});
    cr_assert(fired);
}

// When one of a key's selected candidates is removed, the other one must stay selected; otherwise
// removing one server would also move keys between the remaining ones.
Test(hash, rendezvous_keeps_the_remaining_choices)
{
    const std::vector<std::string> all{"a", "b", "c", "d", "e"};
    for (int key = 0; key < 100; ++key) {
        const auto chosen = rendezvous(std::to_string(key), all, 2);
        std::vector<std::string> remaining;
        for (std::size_t i = 0; i < all.size(); ++i) {
            if (i != chosen[1])
                remaining.push_back(all[i]);
        }
        const auto reselected = rendezvous(std::to_string(key), remaining, 1);
        cr_assert(remaining[reselected[0]] == all[chosen[0]]);
    }
}

Test(hash, content_digest_is_sha256)
{
    cr_assert(content_digest("") ==
              "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855");
}

// A misspelt mechanism name must be an error that lists the valid names; otherwise the daemon would
// start with the mechanism still on.
Test(mechanisms, are_switched_off_by_name)
{
    const auto partial = mechanism_set::all_except({"newest_first", "warm_spares"});
    cr_assert(partial);
    cr_assert(!partial.value().has(mechanism::newest_first));
    cr_assert(partial.value().has(mechanism::sure_places));
    cr_assert_eq(partial.value().disabled_names(), "newest_first, warm_spares");
    cr_assert(mechanism_set::all_except({}).value().disabled_names().empty());
    const auto misspelt = mechanism_set::all_except({"newest_frist"});
    cr_assert(!misspelt);
    cr_assert(misspelt.error().remedy.find("newest_first") != std::string::npos);
}
