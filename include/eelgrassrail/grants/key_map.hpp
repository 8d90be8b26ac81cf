/// Which worker each key of a service belongs to.
#pragma once

#include <eelgrassrail/grants/key_slice.hpp>

#include <span>
#include <vector>

namespace eelgrassrail
{

/// All keys of one service as consecutive slices. Invariant: the slices are sorted, without gaps or
/// overlaps, and cover all keys; neighbours differ in their state.
class key_map
{
  public:
    /// @brief All keys belong to nobody.
    key_map();

    /// @brief Replaces the state of a range of keys.
    /// @complexity logarithmic in the number of slices, besides moving those behind it in memory
    void paint(const key_slice& slice);

    /// @brief The slice of a key.
    /// @complexity logarithmic in the number of slices
    [[nodiscard]] const key_slice& find(std::uint32_t key) const noexcept;

    [[nodiscard]] std::span<const key_slice> slices() const noexcept { return m_slices; }

    /// @brief The slices whose owner is the given one.
    [[nodiscard]] std::vector<key_slice> owned_by(const worker_life& owner) const;

  private:
    std::vector<key_slice> m_slices;
};

} // namespace eelgrassrail
