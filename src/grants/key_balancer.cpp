/// Greedy division of keys by load and capacity.
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

/// A worker with the load that the plan gives it so far.
struct share
{
    const key_worker* worker{};
    double load{};
    double fair{}; ///< load in proportion to the worker's capacity

    [[nodiscard]] double lack() const noexcept { return fair - load; }
    [[nodiscard]] double filling() const noexcept { return load / worker->capacity; }
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
                m_kept.insert(item.life);
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
            if (find(slice.owner) == nullptr && !m_kept.contains(slice.owner) &&
                (slice.is_ready || slice.owner.id.empty()))
                place(slice);
        for (std::size_t n = 0; n < m_limits.moves; ++n)
            if (!shift())
                break;
        return m_moves;
    }

  private:
    share* find(const worker_life& life)
    {
        const auto it =
            std::ranges::find_if(m_shares, [&](const share& s) { return s.worker->life == life; });
        return it == m_shares.end() ? nullptr : &*it;
    }

    /// Divides a slice without a live owner.
    void place(key_slice rest)
    {
        for (;;)
        {
            auto& target = *std::ranges::max_element(m_shares, {}, &share::lack);
            // A sliver that is left over goes to the same worker.
            const double whole = m_load.rate(rest.first, rest.last);
            const double wanted = std::max(target.lack(), target.fair * m_limits.tolerance);
            const bool takes_all = wanted * (1 + m_limits.tolerance) >= whole;
            const auto last = takes_all ? rest.last : m_load.reach(rest.first, rest.last, wanted);
            move(rest.first, last, rest.owner.id.empty() ? rest.previous : rest.owner, target);
            if (last == rest.last)
                return;
            rest.first = last + 1;
        }
    }

    void move(std::uint32_t first, std::uint32_t last, const worker_life& source, share& target)
    {
        target.load += m_load.rate(first, last);
        m_moves.push_back({first, last, source, target.worker->life});
    }

    /// Makes the most useful move; false if there is none.
    bool shift()
    {
        if (m_shares.size() < 2)
            return false;
        std::vector<share*> fullest;
        std::ranges::transform(m_shares, std::back_inserter(fullest), [](share& s) { return &s; });
        std::ranges::sort(fullest, std::greater{}, &share::filling);
        for (auto* full : fullest)
            if (full->filling() > m_limits.calm && relieve(*full, *fullest.back()))
                return true;
        if (fullest.back()->load > 0)
            return false;
        return take_piece(*fullest.front(), *fullest.back(), fullest.back()->fair) ||
               take_heaviest_slice(*fullest.front(), *fullest.back());
    }

    /// Takes load off one worker.
    bool relieve(share& full, share& empty)
    {
        const double excess = -full.lack();
        const double gain = std::min(excess, std::max(empty.lack(), excess / 2));
        if (excess <= full.fair * m_limits.tolerance || gain < m_limits.least_gain)
            return false;
        return take_piece(full, empty, gain) || relocate_heavy_key(full, gain) ||
               take_small_slice(full, empty);
    }

    bool take_piece(share& full, share& empty, double wanted)
    {
        const auto found = find_piece(full.worker->life, wanted);
        return found != m_slices.end() && hand_over(found, full, empty);
    }

    bool hand_over(std::vector<key_slice>::iterator found, share& full, share& target)
    {
        full.load -= m_load.rate(found->first, found->last);
        move(found->first, found->last, found->owner, target);
        found->is_ready = false; // it is on its way and is not looked at again
        return true;
    }

    /// A key has one owner, so a key that is heavier than what a worker can run goes to one of the
    /// fastest workers, and stays there: the very fastest of many is mostly one whose speed is
    /// overestimated, and a move interrupts the key.
    bool relocate_heavy_key(share& full, double wanted)
    {
        constexpr double fast_rank = 0.85; // of the workers by capacity
        constexpr double fast_enough = 0.75;
        std::vector<double> capacities;
        std::ranges::transform(m_shares, std::back_inserter(capacities),
                               [](const share& s) { return s.worker->capacity; });
        std::ranges::sort(capacities);
        const auto rank = static_cast<std::size_t>(
            std::ceil(fast_rank * static_cast<double>(capacities.size() - 1)));
        const double fast = capacities[rank];
        if (full.worker->capacity >= fast * fast_enough)
            return false;
        auto& best = *std::ranges::min_element(m_shares, {},
                                               [fast](const share& s) {
                                                   return s.worker->capacity >= fast
                                                              ? s.filling()
                                                              : std::numeric_limits<double>::max();
                                               });
        for (auto it = m_slices.begin(); it != m_slices.end(); ++it)
        {
            if (!it->is_ready || it->owner != full.worker->life)
                continue;
            const auto piece = densest(*it, wanted);
            if (piece.first == piece.last && m_load.rate(piece.first, piece.last) >= wanted)
                return hand_over(split(it, piece), full, best);
        }
        return false;
    }

    /// A worker that is full of one key gives its other keys away.
    bool take_small_slice(share& full, share& empty)
    {
        const auto it =
            std::ranges::find_if(m_slices,
                                 [&](const key_slice& slice)
                                 {
                                     const double load = m_load.rate(slice.first, slice.last);
                                     return slice.is_ready && slice.owner == full.worker->life &&
                                            load >= m_limits.least_gain && load <= empty.lack();
                                 });
        return it != m_slices.end() && hand_over(it, full, empty);
    }

    /// An empty worker gets something also where all slices are far lighter than its share.
    bool take_heaviest_slice(share& full, share& empty)
    {
        auto heaviest = m_slices.end();
        double most = 0;
        for (auto it = m_slices.begin(); it != m_slices.end(); ++it)
        {
            const double load = m_load.rate(it->first, it->last);
            if (!it->is_ready || it->owner != full.worker->life || load > empty.fair ||
                load <= most)
                continue;
            heaviest = it;
            most = load;
        }
        return heaviest != m_slices.end() && hand_over(heaviest, full, empty);
    }

    /// Cuts a piece of about the wanted load out of a worker's slices: the one with the fewest
    /// keys.
    std::vector<key_slice>::iterator find_piece(const worker_life& owner, double wanted)
    {
        constexpr double least_part = 0.5; // a piece that is lighter is not worth a move
        constexpr double most_part = 1.25;
        auto from = m_slices.end();
        key_slice best;
        for (auto it = m_slices.begin(); it != m_slices.end(); ++it)
        {
            if (!it->is_ready || it->owner != owner ||
                m_load.rate(it->first, it->last) < wanted * least_part)
                continue;
            const auto piece = densest(*it, wanted);
            const double load = m_load.rate(piece.first, piece.last);
            if (load < wanted * least_part || load > wanted * most_part)
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
    [[nodiscard]] key_slice densest(const key_slice& slice, double wanted) const
    {
        constexpr double enough = 0.9;
        constexpr std::uint32_t steps = 64; // starts that are tried in a slice
        auto best = slice;
        if (m_load.rate(slice.first, slice.last) <= wanted)
            return best;
        // Quantiles of the load are dense where keys are hot.
        const double whole = m_load.rate(slice.first, slice.last);
        for (std::uint32_t n = 0; n < steps; ++n)
        {
            const auto first =
                n == 0 ? slice.first : m_load.reach(slice.first, slice.last, whole * n / steps);
            const auto last = m_load.reach(first, slice.last, wanted * enough);
            if (m_load.rate(first, last) >= wanted * enough &&
                last - first < best.last - best.first)
            {
                best.first = first;
                best.last = last;
            }
        }
        return best;
    }

    /// Replaces a slice by its parts.
    /// @return the part that is the piece
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
    std::set<worker_life> m_kept;
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
