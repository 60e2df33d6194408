-- The functions that scenarios call. Most wrap one operation of scenario_world (scenarios/world.h);
-- tables are converted to C++ and back.

-- check(holds, what): counts a check and reports `what` as a problem if it does not hold.
function check(holds, what)
  op("check", {holds = holds and true or false, what = what})
end

function note(text) op("note", {text = text}) end
function wait(seconds) op("wait", {seconds = seconds}) end
function now() return op("now", {}) end

-- wait_until(condition, seconds, what): polls the condition and fails the scenario if it does not
-- hold in time. Returns the time it took, in seconds.
function wait_until(condition, seconds, what)
  local began = now()
  while not condition() do
    if now() - began > seconds then
      error("not reached within " .. seconds .. " s: " .. what, 2)
    end
    wait(0.02)
  end
  return now() - began
end

-- Starts stand-ins for the platform and the backend VMs. Settings: engines, fabric_domains,
-- failure_domains, plain (names), plain_work_ms, weight_rate, weight_bytes, step_us, max_batch,
-- check_fencing, vm_lag_ms, kv_writes, kv_reads. Returns {plain = {name = address}}.
function fleet(settings) return op("fleet", settings) end

-- Starts the daemon of an entry VM as a child process. flags: additional flags of jaynotchd.
function daemon(name, failure_domain, flags)
  return op("daemon", {name = name, failure_domain = failure_domain, flags = flags})
end

function restart(name) op("restart", {name = name}) end
function kill(name) op("signal", {name = name, signal = "kill"}) end
function pause(name) op("signal", {name = name, signal = "stop"}) end
function resume(name) op("signal", {name = name, signal = "cont"}) end
-- Requests a graceful stop; await_exit waits for it and returns the exit code.
function stop(name) op("signal", {name = name, signal = "term"}) end
function await_exit(name, seconds) return op("await_exit", {name = name, seconds = seconds}) end

-- Send an HTTP request and return {status, body, json, ran, retry_after}; status is 0 if no answer
-- was received.
function get(name, path) return op("http", {to = name, path = path}) end
function admin(name, page) return op("http", {to = name, port = "admin", path = "/admin/v1/" .. page}) end
function http(arguments) return op("http", arguments) end

function status(name) return admin(name, "status").json or {} end
function groups(name)
  local page = admin(name, "groups").json
  return page and page.groups or {}
end
function ready(name) return get(name, "/readyz").status == 200 end

-- Number of groups that a daemon reports as complete; pool: only groups of that pool.
function complete_groups(name, pool)
  local count = 0
  for _, group in ipairs(groups(name)) do
    if group.complete and (pool == nil or group.pool == pool) then count = count + 1 end
  end
  return count
end

-- Waits until each daemon in `names` reports `count` complete groups and answers a request.
function groups_serve(names, count, model)
  for _, name in ipairs(names) do
    wait_until(function() return complete_groups(name) == count end, 40, name .. " has " .. count .. " complete groups")
    wait_until(function() return ask(name, {model = model or "router", tokens = 1}).outcome == "whole" end, 10,
               name .. " serves")
  end
end

local changes = 0
-- Applies a routes table and a pools table through one daemon; returns the answer, as http does.
function apply(name, tables)
  changes = changes + 1
  local body = op("json", {
    routes = tables.routes, pools = tables.pools, base_revision = tables.base_revision,
    author = tables.author or "scenario", message = tables.message or "",
    change_id = tables.change_id or ("scenario-" .. changes)})
  return op("http", {to = name, port = "admin", method = "POST", path = "/admin/v1/apply",
                     headers = {["Content-Type"] = "application/json"}, body = body})
end

-- Applies tables through the first daemon in `names`; waits until each of them is ready.
function apply_everywhere(names, tables)
  local answer = apply(names[1], tables)
  if answer.status ~= 200 then
    error("apply failed with status " .. answer.status .. " " .. tostring(answer.body), 2)
  end
  for _, name in ipairs(names) do
    wait_until(function() return ready(name) end, 20, name .. " ready")
  end
  return answer
end

-- Tables with a route and a pool for options.model, and for a plain service at options.servers.
function tables_for(options)
  local routes = 'deployment = "test"\n'
  local pools = 'deployment = "test"\n'
  if options.model then
    routes = routes .. string.format([=[
[[route]]
name = "chat"
kind = "chat"
model = "%s"
workspaces = ["*"]
pool = "model"
timeout_ms = %d
longest_stream_ms = 60000
retries = %d
]=], options.model, options.timeout_ms or 10000, options.retries or 2)
    pools = pools .. string.format([=[
[[pool]]
name = "model"
kind = "model"
model = "%s"
version = "%s"
replica_vms = %d
replicas = %d
standbys = %d
engine_checks_fencing = %s
max_in_flight_per_replica = 64
]=], options.model, options.version or "v1", options.replica_vms or 2, options.replicas or 1,
      options.standbys or 0, options.check_fencing == false and "false" or "true")
  end
  if options.servers then
    routes = routes .. string.format([=[
[[route]]
name = "orders"
kind = "plain"
path_prefix = "/orders"
methods = ["POST"]
workspaces = ["*"]
pool = "plain"
repeat = "%s"
timeout_ms = %d
longest_stream_ms = 20000

[[route]]
name = "archive"
kind = "plain"
path_prefix = "/"
methods = ["GET"]
workspaces = ["*"]
pool = "plain"
timeout_ms = %d
longest_stream_ms = 20000
retries = 2
]=], options["repeat"] or "keyed", options.timeout_ms or 3000, options.timeout_ms or 3000)
    local quoted = {}
    for _, address in ipairs(options.servers) do quoted[#quoted + 1] = '"' .. address .. '"' end
    pools = pools .. string.format([=[
[[pool]]
name = "plain"
kind = "plain"
servers = [%s]
]=], table.concat(quoted, ", "))
  end
  return {routes = routes, pools = pools}
end

-- fault("vm-3", {pause = true}): the target is kv, vms, weights, a VM or a plain service.
function fault(target, change) op("fault", {target = target, change = change}) end
function fault_fabric(domain, change) op("fault_fabric", {domain = domain, change = change}) end
function leaving(vm, in_seconds) op("change_vm", {vm = vm, state = "leaving", in_seconds = in_seconds}) end
function gone(vm) op("change_vm", {vm = vm, state = "gone"}) end
-- Partitions two sets of names from each other: daemons, VMs, services, failure domains,
-- "platform".
function partition(one, other) op("cut", {one = one, other = other}) end
function heal() op("heal", {}) end
-- Expires the leases of all keys with a prefix; returns how many.
function lapse(prefix) return op("lapse", {prefix = prefix}) end
function kv_entries(prefix) return op("kv_entries", {prefix = prefix}) end

-- Send one model call or one plain call; return {outcome, status, detail, record, version, tokens,
-- retry_after, first_token_ms, total_ms}.
function ask(name, options)
  return op("ask", {to = name, model = options.model, prompt = options.prompt or "a question",
                    tokens = options.tokens, stream = options.stream,
                    workspace = options.workspace})
end
function order(name, options)
  return op("order", {to = name, key = options.key, body = options.body or options.key,
                      path = options.path, method = options.method})
end

-- Starts a load generator that runs concurrently; finish waits for its end and returns its report.
function start_load(names, options)
  options.to = names
  return op("start_load", options)
end
function finish(load)
  local report = op("finish_load", {id = load})
  local parts = {}
  for outcome, count in pairs(report.outcomes) do
    if count > 0 then parts[#parts + 1] = count .. " " .. outcome end
  end
  for _, refusal in ipairs(report.refusals) do
    parts[#parts + 1] = refusal.count .. " times \"" .. refusal.words .. "\""
  end
  report.text = report.started .. " calls: " .. table.concat(parts, ", ")
  note(report.text)
  for _, fault in ipairs(report.faults) do note("  " .. fault) end
  return report
end

-- The records of the stand-ins: {finished, partial, stale_orders, running,
-- plain = {{service, method, key, digest}}}.
function account() return op("account", {}) end
function runs_of(key)
  local count = 0
  for _, run in ipairs(account().plain) do
    if run.key == key then count = count + 1 end
  end
  return count
end
