// Finds the route of a request: the most specific row of the routing table that matches.
//
//   const route_index index{tables.routes};
//   const route* found = index.find(info);   // nullptr: no route
//
// Specificity is compared in this order: a named model before any ("" or "*"), a named workspace
// before "*", the longer path prefix before the shorter, a list of methods before none; then the
// lower name. A path prefix matches whole segments: "/orders" matches "/orders" and "/orders/7",
// not "/ordersx".
#pragma once

#include "routing/request_events.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jaynotch {

/// Whether `prefix` is a prefix of `path` in whole segments.
bool path_has_prefix(std::string_view path, std::string_view prefix);

/// Transparent hash for look-ups by string_view.
struct string_view_hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const noexcept { return hash64(text); }
};

/// The routes of one configuration, indexed.
class route_index {
public:
    route_index() = default;
    explicit route_index(std::vector<route> routes);

    /// The route of `request`, or nullptr. The pointer is valid until the index is replaced.
    [[nodiscard]] const route* find(const request_info& request) const;

private:
    using row_list = std::vector<std::size_t>;
    using rows_by_text =
        std::unordered_map<std::string, row_list, string_view_hash, std::equal_to<>>;
    struct workspace_rows {
        rows_by_text chat;       ///< by model, "*" for any
        rows_by_text completion; ///< by model, "*" for any
        rows_by_text plain;      ///< by host and path prefix
    };

    void add(std::size_t row, const std::string& workspace);
    [[nodiscard]] const workspace_rows* rows_of(std::string_view workspace) const;
    [[nodiscard]] const route* find_model(const request_info& request) const;
    [[nodiscard]] const route* find_plain(const request_info& request,
                                          const workspace_rows& rows) const;

    std::vector<route> m_routes; ///< in order of names
    std::unordered_map<std::string, workspace_rows, string_view_hash, std::equal_to<>> m_workspaces;
    std::vector<std::size_t> m_prefix_lengths; ///< distinct lengths of path prefixes, longest first
};

} // namespace jaynotch
