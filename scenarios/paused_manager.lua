-- The entry VM that manages a fabric domain is paused until its lease expires, and another one
-- takes over and repairs a group. When the paused one resumes, it still considers itself the
-- manager. Its late orders must neither break up the new group nor make an incomplete one serve,
-- here on engines that do not check fencing numbers.
fleet{engines = 6, fabric_domains = 1, check_fencing = false}
daemon("entry-1", "a")
daemon("entry-2", "a")
apply_everywhere({"entry-1", "entry-2"},
                 tables_for{model = "router", replica_vms = 2, replicas = 2, check_fencing = false})
groups_serve({"entry-1", "entry-2"}, 2)
local manager, other = "entry-1", "entry-2"
if #(status("entry-2").managing or {}) > 0 then manager, other = other, manager end
check(#(status(manager).managing or {}) > 0, "no entry VM manages the fabric domain")
pause(manager)
local victim = groups(other)[1].members[2].vm
fault(victim, {kill = true})
gone(victim)
wait_until(function() return #(status(other).managing or {}) > 0 end, 30, "the other entry VM manages the domain")
wait_until(function() return complete_groups(other) == 2 end, 30, "the group is repaired")
resume(manager)
local load = start_load({other}, {model = "router", rate = 15, seconds = 4, tokens = 20})
local report = finish(load)
check(report.outcomes.wrong == 0, "wrong answers")
check(report.outcomes.whole > 0.9 * report.started,
      report.text)
wait_until(function() return complete_groups(other) == 2 end, 20, "two complete groups after the pause")
