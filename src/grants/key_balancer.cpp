/// Greedy assignment of keys by load and capacity.
#include <eelgrassrail/grants/key_balancer.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <numeric>
#include <set>

namespace eelgrassrail
{
namespace
{

/// A worker with the load that the plan assigns to it so far.
struct share
{
    const key_worker* worker{};
    double load{}; ///< requests per second
    double fair{}; ///< part of the whole load in proportion to the worker's capacity

    [[nodiscard]] double deficit() const noexcept { return fair - load; }
    [[nodiscard]] double utilization() const noexcept { return load / worker->capacity; }
};

class planner
{
  public:
    planner(const key_map& map, const key_load& load, std::span<const key_worker> workers,
            const balance_limits& limits)
        : m_load(load)
        , m_limits(limits)
        , m_slices(map.slices().begin(), map.slices().end())
    {
        const double capacity =
            std::accumulate(workers.begin(), workers.end(), 0.0,
                            [](double sum, const key_worker& it)
                            { return sum + (it.may_change ? it.capacity : 0.0); });
        const double all = load.rate(0, key_count - 1);
        for (const auto& item : workers)
            if (!item.may_change)
                m_fixed_workers.insert(item.incarnation);
            else
                m_shares.push_back({&item, 0, all * item.capacity / capacity});
        for (const auto& slice : m_slices)
            if (auto* owner = find(slice.owner); owner != nullptr)
                owner->load += load.rate(slice.first, slice.last);
    }

    std::vector<planned_move> run()
    {
        if (m_shares.empty())
            return {};
        const auto known = m_slices;
        for (const auto& slice : known)
            if (find(slice.owner) == nullptr && !m_fixed_workers.contains(slice.owner) &&
                (slice.is_ready || slice.owner.id.empty()))
                assign(slice);
        for (std::size_t n = 0; n < m_limits.moves; ++n)
            if (!plan_next_move())
                break;
        return m_moves;
    }

  private:
    share* find(const worker_incarnation& incarnation)
    {
        const auto it = std::ranges::find_if(m_shares, [&](const share& s)
                                             { return s.worker->incarnation == incarnation; });
        return it == m_shares.end() ? nullptr : &*it;
    }

    /// Divides a slice without a live owner among the workers with the largest deficits.
    void assign(key_slice rest)
    {
        for (;;)
        {
            auto& target = *std::ranges::max_element(m_shares, {}, &share::deficit);
            // A small remainder goes to the same worker.
            const double whole = m_load.rate(rest.first, rest.last);
            const double wanted = std::max(target.deficit(), target.fair * m_limits.tolerance);
            const bool is_whole = wanted * (1 + m_limits.tolerance) >= whole;
            const auto last =
                is_whole ? rest.last : m_load.key_at_rate(rest.first, rest.last, wanted);
            move(rest.first, last, rest.owner.id.empty() ? rest.previous : rest.owner, target);
            if (last == rest.last)
                return;
            rest.first = last + 1;
        }
    }

    void move(std::uint32_t first, std::uint32_t last, const worker_incarnation& source,
              share& target)
    {
        target.load += m_load.rate(first, last);
        m_moves.push_back({first, last, source, target.worker->incarnation});
    }

    /// Plans the most useful move.
    /// @return false if there is none
    bool plan_next_move()
    {
        if (m_shares.size() < 2)
            return false;
        std::vector<share*> by_utilization;
        std::ranges::transform(m_shares, std::back_inserter(by_utilization),
                               [](share& s) { return &s; });
        std::ranges::sort(by_utilization, std::greater{}, &share::utilization);
        for (auto* busy : by_utilization)
            if (busy->utilization() > m_limits.low_utilization &&
                offload(*busy, *by_utilization.back()))
                return true;
        if (by_utilization.back()->load > 0)
            return false;
        return move_range(*by_utilization.front(), *by_utilization.back(),
                          by_utilization.back()->fair) ||
               move_heaviest_slice(*by_utilization.front(), *by_utilization.back());
    }

    /// Moves load off one worker.
    bool offload(share& busy, share& idle)
    {
        const double excess = -busy.deficit();
        const double gain = std::min(excess, std::max(idle.deficit(), excess / 2));
        if (excess <= busy.fair * m_limits.tolerance || gain < m_limits.min_gain)
            return false;
        return move_range(busy, idle, gain) || move_heavy_key(busy, gain) ||
               move_small_slice(busy, idle);
    }

    bool move_range(share& busy, share& idle, double wanted)
    {
        const auto found = split_off_range(busy.worker->incarnation, wanted);
        return found != m_slices.end() && move_slice(found, busy, idle);
    }

    bool move_slice(std::vector<key_slice>::iterator found, share& busy, share& target)
    {
        busy.load -= m_load.rate(found->first, found->last);
        move(found->first, found->last, found->owner, target);
        found->is_ready = false; // excludes it from further moves of this plan
        return true;
    }

    /// A key has one owner, so a key with more load than its worker can run moves to one of the
    /// fastest workers and stays there. It does not move on to the single fastest one: among many
    /// workers that is mostly one whose speed is overestimated, and a move interrupts the key.
    bool move_heavy_key(share& busy, double wanted)
    {
        constexpr double fast_quantile = 0.85; // of the workers by capacity
        constexpr double fast_enough = 0.75;
        std::vector<double> capacities;
        std::ranges::transform(m_shares, std::back_inserter(capacities),
                               [](const share& s) { return s.worker->capacity; });
        std::ranges::sort(capacities);
        const auto rank = static_cast<std::size_t>(
            std::ceil(fast_quantile * static_cast<double>(capacities.size() - 1)));
        const double fast = capacities[rank];
        if (busy.worker->capacity >= fast * fast_enough)
            return false;
        auto& best = *std::ranges::min_element(m_shares, {},
                                               [fast](const share& s) {
                                                   return s.worker->capacity >= fast
                                                              ? s.utilization()
                                                              : std::numeric_limits<double>::max();
                                               });
        for (auto it = m_slices.begin(); it != m_slices.end(); ++it)
        {
            if (!it->is_ready || it->owner != busy.worker->incarnation)
                continue;
            const auto piece = densest_range(*it, wanted);
            if (piece.first == piece.last && m_load.rate(piece.first, piece.last) >= wanted)
                return move_slice(split(it, piece), busy, best);
        }
        return false;
    }

    /// If one key causes the overload and can not be moved, the worker's other keys are moved.
    bool move_small_slice(share& busy, share& idle)
    {
        const auto it =
            std::ranges::find_if(m_slices,
                                 [&](const key_slice& slice)
                                 {
                                     const double load = m_load.rate(slice.first, slice.last);
                                     return slice.is_ready &&
                                            slice.owner == busy.worker->incarnation &&
                                            load >= m_limits.min_gain && load <= idle.deficit();
                                 });
        return it != m_slices.end() && move_slice(it, busy, idle);
    }

    /// An idle worker gets a slice even if all slices carry far less load than its fair share.
    bool move_heaviest_slice(share& busy, share& idle)
    {
        auto heaviest = m_slices.end();
        double max_load = 0;
        for (auto it = m_slices.begin(); it != m_slices.end(); ++it)
        {
            const double load = m_load.rate(it->first, it->last);
            if (!it->is_ready || it->owner != busy.worker->incarnation || load > idle.fair ||
                load <= max_load)
                continue;
            heaviest = it;
            max_load = load;
        }
        return heaviest != m_slices.end() && move_slice(heaviest, busy, idle);
    }

    /// Splits a range with about the wanted load off a worker's slices: the one with the fewest
    /// keys.
    std::vector<key_slice>::iterator split_off_range(const worker_incarnation& owner, double wanted)
    {
        constexpr double min_part = 0.5; // a smaller load does not justify a move
        constexpr double max_part = 1.25;
        auto from = m_slices.end();
        key_slice best;
        for (auto it = m_slices.begin(); it != m_slices.end(); ++it)
        {
            if (!it->is_ready || it->owner != owner ||
                m_load.rate(it->first, it->last) < wanted * min_part)
                continue;
            const auto piece = densest_range(*it, wanted);
            const double load = m_load.rate(piece.first, piece.last);
            if (load < wanted * min_part || load > wanted * max_part)
                continue;
            if (from == m_slices.end() || piece.last - piece.first < best.last - best.first)
            {
                from = it;
                best = piece;
            }
        }
        return from == m_slices.end() ? from : split(from, best);
    }

    /// The shortest range of a slice that carries about the wanted load.
    [[nodiscard]] key_slice densest_range(const key_slice& slice, double wanted) const
    {
        constexpr double sufficient_part = 0.9;
        constexpr std::uint32_t steps = 64; // candidate first keys per slice
        auto best = slice;
        if (m_load.rate(slice.first, slice.last) <= wanted)
            return best;
        // Candidates are quantiles of the load, so they are close together where keys are hot.
        const double whole = m_load.rate(slice.first, slice.last);
        for (std::uint32_t n = 0; n < steps; ++n)
        {
            const auto first = n == 0
                                   ? slice.first
                                   : m_load.key_at_rate(slice.first, slice.last, whole * n / steps);
            const auto last = m_load.key_at_rate(first, slice.last, wanted * sufficient_part);
            if (m_load.rate(first, last) >= wanted * sufficient_part &&
                last - first < best.last - best.first)
            {
                best.first = first;
                best.last = last;
            }
        }
        return best;
    }

    /// Replaces a slice by `piece` and the remaining parts.
    /// @return the position of `piece`
    std::vector<key_slice>::iterator split(std::vector<key_slice>::iterator at,
                                           const key_slice& piece)
    {
        const auto whole = *at;
        if (whole.last > piece.last)
        {
            auto tail = whole;
            tail.first = piece.last + 1;
            at = std::prev(m_slices.insert(std::next(at), tail));
        }
        *at = piece;
        if (whole.first < piece.first)
        {
            auto head = whole;
            head.last = piece.first - 1;
            at = std::next(m_slices.insert(at, head));
        }
        return at;
    }

    const key_load& m_load;
    const balance_limits& m_limits;
    std::vector<key_slice> m_slices;
    std::vector<share> m_shares;
    std::set<worker_incarnation> m_fixed_workers;
    std::vector<planned_move> m_moves;
};

} // namespace

std::vector<planned_move> plan_key_moves(const key_map& map, const key_load& load,
                                         std::span<const key_worker> workers,
                                         const balance_limits& limits)
{
    if (workers.empty())
        return {};
    return planner(map, load, workers, limits).run();
}

} // namespace eelgrassrail
