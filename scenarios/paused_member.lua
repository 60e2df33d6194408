-- A VM of a replica is paused for seconds and then resumes with its old state, so its group stalls.
-- Callers must get complete answers or a correct failure, and the resumed VM must not bring back a
-- group that has been withdrawn.
fleet{engines = 4, fabric_domains = 1, step_us = 8000}
daemon("entry-1", "a", {"--stream_stall_ms=1500"})
apply_everywhere({"entry-1"}, tables_for{model = "router", replica_vms = 2, replicas = 2})
groups_serve({"entry-1"}, 2)
local load = start_load({"entry-1"}, {model = "router", rate = 10, seconds = 7, tokens = 30})
wait(1.5)
local victim = groups("entry-1")[1].members[2].vm
fault(victim, {pause = true})
wait_until(function() return complete_groups("entry-1") < 2 end, 8, "the stalled group is withdrawn")
wait(1)
fault(victim, {pause = false})
local report = finish(load)
check(report.outcomes.wrong == 0, "wrong answers")
check(report.outcomes.whole > 0.7 * report.started,
      report.text)
wait_until(function() return complete_groups("entry-1") == 2 end, 20, "both groups are complete again")
local after = ask("entry-1", {model = "router", prompt = "after the pause", tokens = 20})
check(after.outcome == "whole", "after the pause a call ends as " .. after.outcome)
