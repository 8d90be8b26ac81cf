/// Forwards one message to many processes through an implicit relay tree.
///
/// Needed where hundreds of processes are to receive the same state update within each push
/// interval, which takes a single sender longer than the interval. Each message lists the processes
/// to which its receiver forwards it, so no process has to know the tree, and every message may use
/// another one. After Li, Zhu, Xie, Li, "Efficient Multi-source Data Dissemination in Peer-to-Peer
/// Networks": a node sends to as many others as it can and assigns the rest to them.
#pragma once

#include <algorithm>
#include <cstddef>
#include <span>
#include <vector>

namespace eelgrassrail
{

/// Maximum number of processes that one relay sends to.
constexpr std::size_t relay_degree = 6;

/// A direct receiver and the processes to which it forwards the message.
template <class Receiver>
struct relay_part
{
    Receiver child;
    std::vector<Receiver> behind;
};

/// @brief Selects the first receivers as relays and divides the others among them.
/// @param receivers sorted by preference as relays
/// @param degree maximum number of direct receivers; positive
/// @return each receiver once, as a child or behind one
template <class Receiver>
[[nodiscard]] std::vector<relay_part<Receiver>>
divide_receivers(std::span<const Receiver> receivers, std::size_t degree)
{
    const auto children = std::min(degree, receivers.size());
    std::vector<relay_part<Receiver>> parts(children);
    for (std::size_t n = 0; n < receivers.size(); ++n)
    {
        if (n < children)
            parts[n].child = receivers[n];
        else
            parts[n % children].behind.push_back(receivers[n]);
    }
    return parts;
}

/// @brief Number of tree levels that a message needs to reach a number of receivers; 0 for none.
[[nodiscard]] constexpr std::size_t relay_levels(std::size_t receivers,
                                                 std::size_t degree = relay_degree) noexcept
{
    std::size_t levels = 0;
    for (; receivers > 0; ++levels)
        receivers = receivers <= degree ? 0 : (receivers - degree + degree - 1) / degree;
    return levels;
}

} // namespace eelgrassrail
