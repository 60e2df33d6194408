// The marker is three numbers, separated by commas: the servers used so far, 1 if no server has had
// the request yet, and the revision of the configuration. A receiver rejects anything else.
#include "daemon/relay_headers.h"

#include "base/parse_number.h"

#include <boost/beast/core/string.hpp>

#include <array>
#include <cmath>

namespace jaynotch {

namespace {

namespace http = boost::beast::http;

constexpr std::string_view ran_header = "jaynotch-ran";
constexpr std::int64_t max_servers = 1'000;
constexpr double max_retry_after_s = 3'600.0;

std::string_view value_of(const http::fields& headers, std::string_view name)
{
    const auto found = headers.find({name.data(), name.size()});
    if (found == headers.end())
        return {};
    return {found->value().data(), found->value().size()};
}

} // namespace

http_header render_relayed(const relayed_marker& marker)
{
    return {std::string{relayed_header}, std::to_string(marker.request.servers_used) + "," +
                                             (marker.request.first_attempt ? "1" : "0") + "," +
                                             std::to_string(marker.revision.value())};
}

result<relayed_marker> parse_relayed(std::string_view text)
{
    std::array<std::int64_t, 3> numbers{};
    bool valid = std::count(text.begin(), text.end(), ',') == 2;
    for (std::size_t at = 0; valid && at < numbers.size(); ++at) {
        const std::size_t end = std::min(text.find(','), text.size());
        const auto number = parse_number<std::int64_t>(text.substr(0, end));
        valid = number && *number >= 0;
        numbers[at] = number.value_or(0);
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    if (!valid || numbers[0] > max_servers || numbers[1] > 1)
        return error{error_kind::invalid_argument,
                     "the header " + std::string{relayed_header} + " can't be read",
                     "make sure that only nodes of this fleet use the relay port"};
    relayed_marker marker;
    marker.request.servers_used = static_cast<std::uint32_t>(numbers[0]);
    marker.request.first_attempt = numbers[1] == 1;
    marker.revision = config_revision{numbers[2]};
    return marker;
}

std::optional<relay_refusal> parse_refusal(const http::fields& headers)
{
    const std::string_view kind_name = value_of(headers, refused_header);
    const std::string_view ran_name = value_of(headers, ran_header);
    if (kind_name.empty() || ran_name.empty())
        return std::nullopt;
    relay_refusal refusal;
    refusal.failure = {from_name<error_kind>(kind_name).value_or(error_kind::internal),
                       "another node refused it: " + std::string{kind_name}, "send it again"};
    refusal.ran = from_name<ran_state>(ran_name).value_or(ran_state::unknown);
    const auto wait_s = parse_number<double>(value_of(headers, "Retry-After"));
    constexpr double ms_in_second = 1000.0;
    if (wait_s && std::isfinite(*wait_s) && *wait_s >= 0.0 && *wait_s <= max_retry_after_s)
        refusal.retry_after =
            std::chrono::milliseconds{static_cast<std::int64_t>(*wait_s * ms_in_second)};
    refusal.reached_server = value_of(headers, reached_server_header) == "1";
    refusal.reaches_no_server = value_of(headers, reaches_no_server_header) == "1";
    return refusal;
}

void remove_relayed(std::vector<http_header>& headers)
{
    std::erase_if(headers, [](const http_header& one) {
        return boost::beast::iequals({one.name.data(), one.name.size()},
                                     {relayed_header.data(), relayed_header.size()});
    });
}

} // namespace jaynotch
