// Mechanisms of the decision cores that can be switched off, to measure what each is worth or when
// an operator suspects one of doing harm. All are on unless a setting says otherwise.
//
//   BOOST_OUTCOME_TRY(const mechanism_set on, mechanism_set::all_except({"newest_first"}));
//   if (on.has(mechanism::warm_spares)) ...
//
// Not listed is what keeps a promise: completeness, fencing, leases, claims, drains, budgets.
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
    late_gives_way,      ///< what begins late anyway takes only what others can spare
    returning_gives_way, ///< who comes back after a refusal counts as late
    newest_first,        ///< of those that wait, where the engines' speed is known
    sure_places,         ///< each node's part of a group, also when others seem to fill it
    prompt_limit,        ///< of prompts that wait at one group
    far_penalty,         ///< for groups in other failure domains
    slowness,            ///< a group slower than the others of its pool counts as such
    silence_detection,   ///< of groups that stand still
    outlier_ejection,    ///< of targets that fail many times in a row
    refusal_pause,       ///< after a group has said that it is not whole
    adaptive_limit,      ///< of pools whose engines' speed is not known
    resumption,          ///< of streams that were cut
    // Groups.
    warm_spares,          ///< spares join a group of their own in advance
    guard_largest,        ///< newcomers are staged for the largest groups first
    probes_before_ending, ///< of members whose entries have run out
    outage_inquiry,       ///< managers go on while no node reaches the store
    // The registry.
    shared_watches, ///< two nodes of a failure domain watch for all
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
        named{mechanism::slowness, "slowness"},
        named{mechanism::silence_detection, "silence_detection"},
        named{mechanism::outlier_ejection, "outlier_ejection"},
        named{mechanism::refusal_pause, "refusal_pause"},
        named{mechanism::adaptive_limit, "adaptive_limit"},
        named{mechanism::resumption, "resumption"},
        named{mechanism::warm_spares, "warm_spares"},
        named{mechanism::guard_largest, "guard_largest"},
        named{mechanism::probes_before_ending, "probes_before_ending"},
        named{mechanism::outage_inquiry, "outage_inquiry"},
        named{mechanism::shared_watches, "shared_watches"}};
};

/// Which of them are on.
class mechanism_set {
public:
    /// An unknown name is an error that lists the known ones.
    static result<mechanism_set> all_except(const std::vector<std::string>& names)
    {
        mechanism_set mechanisms;
        for (const std::string& name : names) {
            const std::optional<mechanism> disabled = from_name<mechanism>(name);
            if (!disabled)
                return error{error_kind::invalid_argument,
                             "no mechanism is called \"" + name + "\"",
                             "write some of " + list_names<mechanism>()};
            mechanisms.m_disabled.set(static_cast<std::size_t>(*disabled));
        }
        return mechanisms;
    }

    [[nodiscard]] bool has(mechanism one) const
    {
        return !m_disabled.test(static_cast<std::size_t>(one));
    }

    /// "a, b" of those that are off; empty if all are on.
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
