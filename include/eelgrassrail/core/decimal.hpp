/// Decimal numbers in header fields.
#pragma once

#include <optional>
#include <string_view>

namespace eelgrassrail
{

/// @brief Parses a decimal number, without sign or exponent.
/// @return std::nullopt if the text is anything else
[[nodiscard]] std::optional<double> parse_decimal(std::string_view text) noexcept;

} // namespace eelgrassrail
