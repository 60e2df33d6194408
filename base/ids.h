// Strongly typed identifiers: strings or numbers with a tag type each, so that identifiers of
// different kinds can't be mixed up.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace jaynotch {

/// A value of type Rep that compares only with values of the same tag.
template <class Tag, class Rep>
class strong_id {
public:
    strong_id() = default;
    explicit strong_id(Rep value) : m_value{std::move(value)} {}
    [[nodiscard]] const Rep& value() const noexcept { return m_value; }
    friend auto operator<=>(const strong_id&, const strong_id&) = default;
    friend std::ostream& operator<<(std::ostream& out, const strong_id& id)
    {
        return out << id.m_value;
    }

private:
    Rep m_value{};
};

using node_id = strong_id<struct node_tag, std::string>; ///< the daemon of an entry VM
using vm_id = strong_id<struct vm_tag, std::string>;     ///< a backend VM (a runner)
using fabric_domain_id = strong_id<struct fabric_tag, std::string>;
using failure_domain_id = strong_id<struct failure_tag, std::string>;
using pool_id = strong_id<struct pool_tag, std::string>;
using route_id = strong_id<struct route_tag, std::string>;
using workspace_id = strong_id<struct workspace_tag, std::string>;
using group_id = strong_id<struct group_tag, std::string>;       ///< the VMs of one replica
using request_id = strong_id<struct request_tag, std::uint64_t>; ///< local to one node
using attempt_id = strong_id<struct attempt_tag, std::uint64_t>; ///< one attempt to send a request
/// Revision of the fabric domain's assignment record, which orders carry as fencing number.
using fencing_number = strong_id<struct fencing_tag, std::int64_t>;
/// Revision of the two tables; each accepted change raises it by one.
using config_revision = strong_id<struct config_tag, std::int64_t>;

} // namespace jaynotch

template <class Tag, class Rep>
struct std::hash<jaynotch::strong_id<Tag, Rep>> {
    std::size_t operator()(const jaynotch::strong_id<Tag, Rep>& id) const noexcept
    {
        return std::hash<Rep>{}(id.value());
    }
};
