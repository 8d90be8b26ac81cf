/// Greedy division of keys by load and capacity.
#include <eelgrassrail/grants/key_balancer.hpp>

#include <algorithm>
#include <cmath>
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
            const auto last =
                takes_all ? rest.last : m_load.reach(rest.first, rest.last, wanted);
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

    /// Moves one piece from the fullest worker to the emptiest one; false if nothing is gained.
    bool shift()
    {
        if (m_shares.size() < 2)
            return false;
        auto& full = *std::ranges::max_element(m_shares, {}, &share::filling);
        auto& empty = *std::ranges::min_element(m_shares, {}, &share::filling);
        const double excess = std::min(-full.lack(), std::max(empty.lack(), -full.lack() / 2));
        const bool is_worth = -full.lack() > full.fair * m_limits.tolerance &&
                              excess >= m_limits.least_gain;
        const bool is_unused = empty.load == 0 && full.lack() < empty.fair;
        if (!is_worth && !is_unused)
            return false;
        const double wanted = is_worth ? excess : empty.fair;
        key_slice* best = nullptr;
        std::uint32_t best_first = 0;
        double best_error = wanted;
        for (auto& slice : m_slices)
        {
            if (!slice.is_ready || slice.owner != full.worker->life)
                continue;
            const double whole = m_load.rate(slice.first, slice.last);
            // The piece is the end of a slice; keys are not moved one by one from its middle.
            const auto cut = whole <= wanted
                                 ? slice.first
                                 : m_load.reach(slice.first, slice.last, whole - wanted) + 1;
            for (const auto first : {cut, cut == slice.first ? cut : cut - 1})
            {
                if (first > slice.last)
                    continue;
                const double error = std::abs(m_load.rate(first, slice.last) - wanted);
                if (error < best_error)
                {
                    best = &slice;
                    best_first = first;
                    best_error = error;
                }
            }
        }
        if (best == nullptr)
            return false;
        full.load -= m_load.rate(best_first, best->last);
        move(best_first, best->last, best->owner, empty);
        if (best_first == best->first)
            best->is_ready = false; // it moves as a whole and is not looked at again
        else
            best->last = best_first - 1;
        return true;
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
