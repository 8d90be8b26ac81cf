/// Positions in the streams of a store that may be restored from a copy.
///
/// After a restore the store issues offsets again that it had issued for records which are gone. It
/// counts its restores (era), so era and offset together name a record for good, and positions only
/// increase.
#pragma once

#include <cstdint>

namespace eelgrassrail
{

/// Bits of a position that hold the offset; the era is in the bits above. With era 0 a position is
/// the offset itself.
constexpr unsigned era_shift = 40;

[[nodiscard]] constexpr std::uint64_t make_position(std::uint64_t era,
                                                    std::uint64_t offset) noexcept
{
    return era << era_shift | offset;
}

[[nodiscard]] constexpr std::uint64_t era_of(std::uint64_t position) noexcept
{
    return position >> era_shift;
}

[[nodiscard]] constexpr std::uint64_t offset_of(std::uint64_t position) noexcept
{
    return position & ((std::uint64_t(1) << era_shift) - 1);
}

} // namespace eelgrassrail
