/// Maps each key of a service to the worker that owns it.
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
    /// @brief Creates a map in which no key has an owner.
    key_map();

    /// @brief Assigns the state of a slice to its range of keys; ignores an invalid range.
    /// @complexity logarithmic in the number of slices, plus moving the slices behind it in memory
    void assign_slice(const key_slice& slice);

    /// @brief The slice that contains a key.
    /// @complexity logarithmic in the number of slices
    [[nodiscard]] const key_slice& find(std::uint32_t key) const noexcept;

    [[nodiscard]] std::span<const key_slice> slices() const noexcept { return m_slices; }

    /// @brief The slices of one owner, in the order of their keys.
    [[nodiscard]] std::vector<key_slice> owned_by(const worker_incarnation& owner) const;

  private:
    std::vector<key_slice> m_slices;
};

} // namespace eelgrassrail
