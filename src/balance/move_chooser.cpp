/// Greedy choice of moves with and without costs.
#include <eelgrassrail/balance/move_chooser.hpp>

#include <algorithm>
#include <cmath>

namespace eelgrassrail
{
namespace
{

/// Part of the mean server load that one unit of cost has to remove.
constexpr double load_per_cost = 0.02;

/// Loads of the servers, updated with each chosen move.
class load_table
{
  public:
    load_table(std::span<const slice_work> slices, std::span<const server_capacity> servers)
    {
        for (const auto& server : servers)
            m_servers[server.server] = {0.0, server.capacity};
        for (const auto& slice : slices)
            if (const auto it = m_servers.find(slice.server); it != m_servers.end())
                it->second.work += slice.work;
    }

    struct load
    {
        double work{};
        double capacity{1.0};

        [[nodiscard]] double relative() const { return work / capacity; }
    };

    [[nodiscard]] const std::map<std::string, load>& servers() const { return m_servers; }

    [[nodiscard]] double mean() const
    {
        double work = 0.0;
        double capacity = 0.0;
        for (const auto& [id, value] : m_servers)
        {
            work += value.work;
            capacity += value.capacity;
        }
        return capacity > 0.0 ? work / capacity : 0.0;
    }

    [[nodiscard]] std::string hottest() const { return extreme(true); }
    [[nodiscard]] std::string coldest() const { return extreme(false); }
    [[nodiscard]] const load& at(const std::string& id) const { return m_servers.at(id); }

    void move(double work, const std::string& from, const std::string& to)
    {
        m_servers.at(from).work -= work;
        m_servers.at(to).work += work;
    }

  private:
    [[nodiscard]] std::string extreme(bool highest) const
    {
        const auto by_load = [](const auto& entry) { return entry.second.relative(); };
        const auto it = highest ? std::ranges::max_element(m_servers, {}, by_load)
                                : std::ranges::min_element(m_servers, {}, by_load);
        return it->first;
    }

    std::map<std::string, load> m_servers;
};

/// Finds the slice whose move from the hottest to the coldest server lowers the higher of their
/// relative loads the most.
/// @param gain in: the gain to be exceeded; out: the gain of the returned slice
/// @return `nullptr` if no slice exceeds it
slice_work* best_slice(std::vector<slice_work>& slices, const load_table& table,
                       const std::string& from, const std::string& to, double& gain)
{
    slice_work* best = nullptr;
    const auto& hot = table.at(from);
    const auto& cold = table.at(to);
    for (auto& slice : slices)
    {
        if (slice.server != from || slice.work <= 0.0)
            continue;
        const auto after = std::max((hot.work - slice.work) / hot.capacity,
                                    (cold.work + slice.work) / cold.capacity);
        const auto removed = hot.relative() - after;
        if (removed > gain)
        {
            gain = removed;
            best = &slice;
        }
    }
    return best;
}

std::vector<slice_move> choose(std::span<const slice_work> slices,
                               std::span<const server_capacity> servers, std::size_t max_moves,
                               double hysteresis, double min_gain_of_mean)
{
    std::vector<slice_move> result;
    if (servers.size() < 2)
        return result;
    load_table table(slices, servers);
    std::vector<slice_work> current(slices.begin(), slices.end());
    const auto mean = table.mean();
    while (result.size() < max_moves)
    {
        const auto from = table.hottest();
        const auto to = table.coldest();
        if (mean <= 0.0 || table.at(from).relative() / mean < hysteresis)
            break;
        double gain = min_gain_of_mean * mean;
        auto* slice = best_slice(current, table, from, to, gain);
        if (slice == nullptr)
            break;
        table.move(slice->work, from, to);
        slice->server = to;
        result.push_back({slice->slice, from, to, gain});
    }
    return result;
}

} // namespace

std::vector<slice_move> choose_moves(std::span<const slice_work> slices,
                                     std::span<const server_capacity> servers,
                                     const balance_parameters& parameters)
{
    const auto cost =
        parameters.churn_weight + parameters.unavailable_weight * parameters.move_seconds;
    return choose(slices, servers, parameters.max_moves, parameters.hysteresis,
                  load_per_cost * cost);
}

std::vector<slice_move> choose_moves_greedy(std::span<const slice_work> slices,
                                            std::span<const server_capacity> servers,
                                            std::size_t max_moves)
{
    return choose(slices, servers, max_moves, 1.0, 0.0);
}

double imbalance(std::span<const slice_work> slices, std::span<const server_capacity> servers)
{
    const load_table table(slices, servers);
    const auto mean = table.mean();
    return mean > 0.0 ? table.at(table.hottest()).relative() / mean : 1.0;
}

std::vector<slice_work> load_tracker::update(std::vector<slice_work> interval, double seconds)
{
    const auto decay = std::exp2(-seconds / m_half_life);
    for (auto& slice : interval)
    {
        auto& average = m_work[slice.slice];
        average = decay * average + (1.0 - decay) * slice.work / seconds;
        slice.work = average;
    }
    return interval;
}

} // namespace eelgrassrail
