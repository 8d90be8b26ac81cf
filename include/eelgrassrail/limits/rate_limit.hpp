/// The rate of requests that a worker accepts from all router processes together.
#pragma once

#include <boost/describe/class.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace eelgrassrail
{

/// A worker and the rate limit that it named in its answers.
struct rate_limit
{
    std::string worker; ///< id
    double per_s{};     ///< requests per second; not negative

    bool operator==(const rate_limit&) const = default;
};
BOOST_DESCRIBE_STRUCT(rate_limit, (), (worker, per_s))

/// @brief Parses a rate limit: a decimal number of requests per second, without sign or exponent.
/// @return std::nullopt if the text is anything else
[[nodiscard]] std::optional<double> parse_rate_limit(std::string_view text) noexcept;

} // namespace eelgrassrail
