// Mechanisms of the decision cores that can be switched off by name, to measure the effect of each
// or when an operator suspects one of a malfunction. All are on by default.
//
//   BOOST_OUTCOME_TRY(const mechanism_set on, mechanism_set::all_except({"newest_first"}));
//   if (on.has(mechanism::warm_spares)) ...
//
// Mechanisms that guarantees depend on are not listed and are always on: completeness, fencing,
// leases, claims, drains, budgets.
#pragma once

#include "base/error.h"
#include "base/names.h"
#include "base/result.h"

#include <bitset>
#include <string>
#include <vector>

namespace jaynotch {

enum class mechanism {
    // Requests.
    late_gives_way,      ///< late requests leave some places free for those that can be in time
    returning_gives_way, ///< requests sent again after a refusal count as late
    newest_first,        ///< newest waiting request first, where the engines' speed is known
    sure_places,         ///< guarantees each node places, even in a group that seems full
    prompt_limit,        ///< bounds the prompts that wait at one group
    far_penalty,         ///< adds to the predicted time of groups in other failure domains
    target_preference,   ///< each node prefers some groups, so that it reuses their connections
    slowness,            ///< scales the predicted time of groups slower than their pool
    silence_detection,   ///< detects groups that stop sending events
    outlier_ejection,    ///< excludes targets that fail many times in a row
    refusal_pause,       ///< avoids a group for a while after it has refused a request
    adaptive_limit,      ///< adapts concurrency limits where the engines' speed is not known
    resumption,          ///< resumes interrupted streams on another server
    detours,             ///< sends through another node while this one reaches no server
    overload_limit,      ///< limits a node's requests to those that are answered in time
    // Groups.
    warm_spares,          ///< spare runners warm up staged weights in groups of their own
    guard_largest,        ///< spare runners are staged for the largest groups first
    probes_before_ending, ///< probes members with expired entries before a group ends
    outage_inquiry,       ///< managers continue while no node reaches the store
    // The registry.
    shared_watches, ///< two nodes per failure domain watch the store for all
};

template <>
struct enum_names<mechanism> {
    static constexpr std::array entries{
        named{mechanism::late_gives_way, "late_gives_way"},
        named{mechanism::returning_gives_way, "returning_gives_way"},
        named{mechanism::newest_first, "newest_first"},
        named{mechanism::sure_places, "sure_places"},
        named{mechanism::prompt_limit, "prompt_limit"},
        named{mechanism::far_penalty, "far_penalty"},
        named{mechanism::target_preference, "target_preference"},
        named{mechanism::slowness, "slowness"},
        named{mechanism::silence_detection, "silence_detection"},
        named{mechanism::outlier_ejection, "outlier_ejection"},
        named{mechanism::refusal_pause, "refusal_pause"},
        named{mechanism::adaptive_limit, "adaptive_limit"},
        named{mechanism::resumption, "resumption"},
        named{mechanism::detours, "detours"},
        named{mechanism::overload_limit, "overload_limit"},
        named{mechanism::warm_spares, "warm_spares"},
        named{mechanism::guard_largest, "guard_largest"},
        named{mechanism::probes_before_ending, "probes_before_ending"},
        named{mechanism::outage_inquiry, "outage_inquiry"},
        named{mechanism::shared_watches, "shared_watches"}};
};

/// The set of enabled mechanisms.
class mechanism_set {
public:
    /// All mechanisms but the named ones. An unknown name is an error that lists the valid ones.
    static result<mechanism_set> all_except(const std::vector<std::string>& names)
    {
        mechanism_set mechanisms;
        for (const std::string& name : names) {
            const std::optional<mechanism> disabled = from_name<mechanism>(name);
            if (!disabled)
                return error{error_kind::invalid_argument, "unknown mechanism \"" + name + "\"",
                             "use names of this list: " + list_names<mechanism>()};
            mechanisms.m_disabled.set(static_cast<std::size_t>(*disabled));
        }
        return mechanisms;
    }

    [[nodiscard]] bool has(mechanism one) const
    {
        return !m_disabled.test(static_cast<std::size_t>(one));
    }

    /// Names of the disabled mechanisms as "a, b"; empty if all are enabled.
    [[nodiscard]] std::string disabled_names() const
    {
        std::string joined;
        for (const auto& entry : enum_names<mechanism>::entries) {
            if (!has(entry.value))
                joined += (joined.empty() ? "" : ", ") + std::string{entry.name};
        }
        return joined;
    }

private:
    std::bitset<enum_names<mechanism>::entries.size()> m_disabled;
};

} // namespace jaynotch
