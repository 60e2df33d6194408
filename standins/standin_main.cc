// jaynotch-standin: runs a stand-in or a fleet of them until SIGTERM or SIGINT.
//
//   jaynotch-standin fleet --engines=8 --fabric_domains=2 --out=fleet.json
//   jaynotch-standin kv --listen=127.0.0.1:2379
//
// Each flag can also be set by the environment variable JAYNOTCH_<FLAG>; the command line takes
// precedence.
#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "absl/strings/str_split.h"
#include "base/environment.h"
#include "standins/standins.h"

#include <boost/asio/signal_set.hpp>

#include <fstream>
#include <iostream>

ABSL_FLAG(std::string, listen, "127.0.0.1:0",
          "address to listen on (a fleet: its control address); port 0 chooses a free one");
ABSL_FLAG(std::string, out, "", "file for the addresses, as JSON; empty for standard output");
ABSL_FLAG(int, engines, 8, "fleet: number of engines, one per VM");
ABSL_FLAG(int, fabric_domains, 2,
          "fleet: number of fabric domains, assigned to failure domains round-robin");
ABSL_FLAG(std::string, failure_domains, "a", "fleet: failure domains, comma-separated");
ABSL_FLAG(std::string, plain, "", "fleet: names of plain services, comma-separated");
ABSL_FLAG(std::string, name, "plain-1", "plain: name of the service");
ABSL_FLAG(std::string, vm, "vm-0", "engine: name of the VM");
ABSL_FLAG(std::string, weight_store, "", "engine: address of the weight store");
ABSL_FLAG(bool, check_fencing, true, "engines: reject orders with an old fencing number");
ABSL_FLAG(int, step_us, 4000, "engines: duration of a step without sequences, in microseconds");
ABSL_FLAG(int, step_per_sequence_us, 100,
          "engines: time that each sequence adds to a step, in microseconds");
ABSL_FLAG(int, prefill_per_token_us, 20,
          "engines: time per uncached prompt token, in microseconds");
ABSL_FLAG(int, max_batch, 32, "engines: maximum number of sequences in a batch");
ABSL_FLAG(int, vm_list_lag_ms, 0, "VM list: age of the list that is served, in milliseconds");
ABSL_FLAG(int, weight_rate, 50000000, "weight store: bytes per second for all readers together");
ABSL_FLAG(int, weight_bytes, 4000000, "weight store: size of a model in bytes");
ABSL_FLAG(int, kv_reads, 0, "key-value service: reads per second; 0 for no limit");
ABSL_FLAG(int, kv_writes, 0, "key-value service: writes per second; 0 for no limit");
ABSL_FLAG(int, plain_work_ms, 0, "plain services: time per request, in milliseconds");

namespace jaynotch {
namespace {

constexpr const char* usage =
    "runs stand-ins until SIGTERM or SIGINT.\n\n"
    "usage: jaynotch-standin {kv|vms|weights|engine|plain|fleet} [flags]\n\n"
    "Each stand-in accepts POST /fault; a fleet also accepts POST /fault/<name> at its control "
    "address.";

std::vector<std::string> split_list(const std::string& joined)
{
    return absl::StrSplit(joined, ',', absl::SkipEmpty());
}

std::uint32_t non_negative(int value)
{
    return static_cast<std::uint32_t>(std::max(0, value));
}

engine_standin_settings engine_from_flags()
{
    engine_standin_settings settings;
    settings.listen = absl::GetFlag(FLAGS_listen);
    settings.vm = vm_id{absl::GetFlag(FLAGS_vm)};
    settings.weight_store = absl::GetFlag(FLAGS_weight_store);
    settings.check_fencing = absl::GetFlag(FLAGS_check_fencing);
    settings.batch.step_base = std::chrono::microseconds{absl::GetFlag(FLAGS_step_us)};
    settings.batch.step_per_sequence =
        std::chrono::microseconds{absl::GetFlag(FLAGS_step_per_sequence_us)};
    settings.batch.prefill_per_token =
        std::chrono::microseconds{absl::GetFlag(FLAGS_prefill_per_token_us)};
    settings.batch.max_batch = std::max(1U, non_negative(absl::GetFlag(FLAGS_max_batch)));
    return settings;
}

kv_standin_settings kv_from_flags()
{
    return {.listen = absl::GetFlag(FLAGS_listen),
            .reads_per_second = non_negative(absl::GetFlag(FLAGS_kv_reads)),
            .writes_per_second = non_negative(absl::GetFlag(FLAGS_kv_writes))};
}

weight_standin_settings weights_from_flags()
{
    return {.listen = absl::GetFlag(FLAGS_listen),
            .bytes_per_second = std::max(1U, non_negative(absl::GetFlag(FLAGS_weight_rate))),
            .model_bytes = non_negative(absl::GetFlag(FLAGS_weight_bytes))};
}

vm_list_standin_settings vms_from_flags()
{
    return {.listen = absl::GetFlag(FLAGS_listen),
            .lag = std::chrono::milliseconds{absl::GetFlag(FLAGS_vm_list_lag_ms)}};
}

plain_standin_settings plain_from_flags()
{
    return {.name = absl::GetFlag(FLAGS_name),
            .listen = absl::GetFlag(FLAGS_listen),
            .work = std::chrono::milliseconds{absl::GetFlag(FLAGS_plain_work_ms)}};
}

standin_fleet_settings fleet_from_flags()
{
    standin_fleet_settings settings;
    settings.engines = non_negative(absl::GetFlag(FLAGS_engines));
    settings.fabric_domains = non_negative(absl::GetFlag(FLAGS_fabric_domains));
    settings.failure_domains = split_list(absl::GetFlag(FLAGS_failure_domains));
    settings.plain = split_list(absl::GetFlag(FLAGS_plain));
    settings.plain_work = std::chrono::milliseconds{absl::GetFlag(FLAGS_plain_work_ms)};
    settings.engine = engine_from_flags();
    settings.kv = kv_from_flags();
    settings.weights = weights_from_flags();
    settings.vms = vms_from_flags();
    settings.control_listen = absl::GetFlag(FLAGS_listen);
    const std::string any_port = "127.0.0.1:0";
    settings.engine.listen = any_port;
    settings.kv.listen = any_port;
    settings.weights.listen = any_port;
    settings.vms.listen = any_port;
    return settings;
}

/// Owner of a running stand-in, and its addresses as JSON.
struct running_standin {
    std::shared_ptr<void> owner;
    std::string addresses;
};

template <class Standin>
result<running_standin> describe_single(result<std::shared_ptr<Standin>> start_result)
{
    BOOST_OUTCOME_TRY(auto standin, std::move(start_result));
    const boost::json::object address{{"address", standin->address()}};
    return running_standin{standin, boost::json::serialize(address)};
}

result<running_standin> start(const boost::asio::any_io_executor& executor, const std::string& what)
{
    if (what == "kv")
        return describe_single(kv_standin::start(executor, kv_from_flags()));
    if (what == "vms")
        return describe_single(vm_list_standin::start(executor, vms_from_flags()));
    if (what == "weights")
        return describe_single(weight_standin::start(executor, weights_from_flags()));
    if (what == "engine")
        return describe_single(engine_standin::start(executor, engine_from_flags(), nullptr));
    if (what == "plain")
        return describe_single(plain_standin::start(executor, plain_from_flags()));
    if (what == "fleet") {
        BOOST_OUTCOME_TRY(auto fleet, standin_fleet::start(executor, fleet_from_flags()));
        return running_standin{fleet, fleet->describe()};
    }
    return error{error_kind::invalid_argument, "unknown stand-in \"" + what + "\"",
                 "use kv, vms, weights, engine, plain or fleet"};
}

void write_addresses(const std::string& addresses)
{
    const std::string out = absl::GetFlag(FLAGS_out);
    if (out.empty()) {
        std::cout << addresses << std::endl;
        return;
    }
    // The file is renamed into place, so a process waiting for it never reads an incomplete one.
    const std::string temporary = out + ".part";
    std::ofstream file{temporary};
    file << addresses << "\n";
    file.close();
    if (!file || std::rename(temporary.c_str(), out.c_str()) != 0)
        throw exception{{error_kind::invalid_argument, "can't write " + out, "check --out"}};
}

int run(const std::vector<char*>& arguments)
{
    if (arguments.size() != 2)
        throw exception{{error_kind::invalid_argument, "missing stand-in: give exactly one",
                         "use kv, vms, weights, engine, plain or fleet"}};
    boost::asio::io_context io{1};
    const running_standin standin = start(io.get_executor(), arguments[1]).value();
    write_addresses(standin.addresses);
    boost::asio::signal_set signals{io, SIGINT, SIGTERM};
    signals.async_wait([&](const auto&, int) { io.stop(); });
    io.run();
    return EXIT_SUCCESS;
}

} // namespace
} // namespace jaynotch

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(jaynotch::usage);
    try {
        jaynotch::read_environment("standins/standin_main.cc").value();
        return jaynotch::run(absl::ParseCommandLine(argc, argv));
    }
    catch (const std::exception& failed) {
        std::cerr << "jaynotch-standin: " << failed.what() << "\n";
        return 2;
    }
}
