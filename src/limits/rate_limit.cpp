/// Parsing of rate limits.
#include <eelgrassrail/core/decimal.hpp>
#include <eelgrassrail/limits/rate_limit.hpp>

namespace eelgrassrail
{

std::optional<double> parse_rate_limit(std::string_view text) noexcept
{
    return parse_decimal(text);
}

} // namespace eelgrassrail
