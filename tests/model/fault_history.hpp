/// The seeded faults of one run of the ownership model.
#pragma once

#include "chance.hpp"
#include "model_world.hpp"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassrail::test
{

/// Plans faults with random numbers of its own, so that the same seed plays the same faults at the
/// same times on any version of the router.
class fault_history
{
  public:
    /// @param world has to outlive the history
    fault_history(const model_settings& settings, model_world& world);

    /// @brief The names of all kinds of fault.
    [[nodiscard]] static std::vector<std::string> kinds();

  private:
    using action = std::function<void(fault_history&, chance&)>;
    struct kind
    {
        std::string_view name;
        double weight{};
        action play;
    };

    [[nodiscard]] static const std::vector<kind>& table();

    void restart_after(std::size_t process, boot_clock::duration time);
    void kill_and_restart(std::size_t process, boot_clock::duration time);
    void for_a_time(boot_clock::duration time, const std::function<void(model_conditions&)>& begin,
                    const std::function<void(model_conditions&)>& end);
    [[nodiscard]] std::size_t any_process(chance& random) const;
    [[nodiscard]] std::size_t any_worker(chance& random) const;

    void kill_coordinator(chance& random);
    void restart_twice(chance& random);
    void strike_claimer(chance& random);
    void kill_all(chance& random);
    void kill_series(chance& random);
    void stop_coordinator(chance& random);
    void freeze_coordinator(chance& random);
    void slow_coordinator(chance& random);
    void isolate_coordinator(chance& random);
    void blind_coordinator(chance& random);
    void lost_successors(chance& random);
    void cut_store(chance& random);
    void store_outage(chance& random);
    void restore_store(chance& random);
    void kill_worker(chance& random);
    void reuse_address(chance& random);
    void foreign_entry(chance& random);
    void unlist_workers(chance& random);
    void cut_worker(chance& random);

    model_settings m_settings;
    model_world& m_world;
    std::size_t m_armed{}; ///< next claims whose process is killed or frozen in the middle
    chance m_random;       ///< for what depends on the state of the run
};

} // namespace eelgrassrail::test
