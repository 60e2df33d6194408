-- The key-value service delays each reply by 700 ms throughout the scenario. Model calls must not
-- wait for it; orders take longer, and none may run twice.
local place = fleet{engines = 2, fabric_domains = 1, plain = {"orders-1", "orders-2"}}
daemon("entry-1", "a")
apply_everywhere({"entry-1"}, tables_for{model = "router", replica_vms = 2, replicas = 1, timeout_ms = 10000,
                                         servers = {place.plain["orders-1"], place.plain["orders-2"]}})
groups_serve({"entry-1"}, 1)
fault("kv", {delay_ms = 700})
local chat = start_load({"entry-1"}, {model = "router", rate = 10, seconds = 5, tokens = 15, seed = 3})
local orders = start_load({"entry-1"}, {rate = 10, seconds = 5, plain_share = 1.0, seed = 4})
local answers = finish(chat)
check(answers.outcomes.whole == answers.started, answers.text)
local booked = finish(orders)
check(booked.outcomes.whole + booked.outcomes.refused_not_run == booked.started, booked.text)
check(booked.outcomes.whole > 0, booked.text)
