/// Passing one message on to many processes through an implicit tree.
///
/// Pattern answered: hundreds of processes that are to hear the same news four times a second. One
/// sender for all of them takes longer than the interval. Here each message says who is to get it
/// from its receiver, so no process has to know the tree, and the next message may take another
/// one. After Li, Zhu, Xie, Li, "Efficient Multi-source Data Dissemination in Peer-to-Peer
/// Networks": a node sends to as many others as it can and assigns the rest to them.
#pragma once

#include <algorithm>
#include <cstddef>
#include <span>
#include <vector>

namespace eelgrassrail
{

/// Processes that one relay sends to.
constexpr std::size_t relay_degree = 6;

/// One receiver and those that it passes the message on to.
template <class Receiver>
struct relay_part
{
    Receiver child;
    std::vector<Receiver> behind;
};

/// @brief Divides receivers among the first of them.
/// @param receivers those that are to relay first; the last ones relay nothing
/// @param degree most receivers that are sent to directly; positive
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

/// @brief Levels of relays that a message takes to pass through a number of receivers.
[[nodiscard]] constexpr std::size_t relay_levels(std::size_t receivers,
                                                 std::size_t degree = relay_degree) noexcept
{
    std::size_t levels = 0;
    for (; receivers > 0; ++levels)
        receivers = receivers <= degree ? 0 : (receivers - degree + degree - 1) / degree;
    return levels;
}

} // namespace eelgrassrail
