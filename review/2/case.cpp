/// An answer without end exceeds the memory limit of the routers.
#include "../kit/endless_worker.hpp"
#include "../kit/load.hpp"
#include "../kit/run_case.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <fstream>
#include <unistd.h>
#include <vector>

namespace
{

using namespace eelgrassrail;
using namespace review;
namespace asio = boost::asio;

constexpr std::uint64_t mb = 1'024UL * 1'024;
constexpr std::uint64_t memory_limit = 260 * mb;

/// Below the 1,000 Mbit/s of a machine's link; of each router.
constexpr double link_bytes_per_s = 115e6;

std::string routes()
{
    return desired_state({{"look", "safe", "schedule", "2500ms"}}, {}, {"schedule"});
}

void start_sound_workers(deployment& world)
{
    world.start_worker({"i-sound-1", "schedule", "zone-2", false, 100});
    world.start_worker({"i-sound-2", "schedule", "zone-3", false, 100});
}

/// Memory of a process in use; 0 if it has ended.
std::uint64_t resident_bytes(pid_t pid)
{
    const auto page_bytes = static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
    std::ifstream in("/proc/" + std::to_string(pid) + "/statm");
    std::uint64_t size = 0;
    std::uint64_t resident = 0;
    in >> size >> resident;
    return resident * page_bytes;
}

/// Ends processes over the limit and starts them again, as the platform does.
class memory_watch
{
  public:
    explicit memory_watch(deployment& world)
        : m_world(world)
        , m_peaks(world.routers())
        , m_ends(world.routers())
    {
    }

    asio::awaitable<void> run()
    {
        constexpr millis interval{5};
        constexpr millis restart_delay{300};
        for (;;)
        {
            co_await m_world.pause(interval);
            for (std::size_t n = 0; n < m_peaks.size(); ++n)
            {
                const auto used = resident_bytes(m_world.router_pid(n));
                m_peaks[n] = std::max(m_peaks[n], used);
                if (used <= memory_limit)
                    continue;
                m_world.kill_router(n);
                ++m_ends[n];
                m_world.events().add("router " + std::to_string(n) + " used " +
                                     std::to_string(used / mb) + " MB and was killed");
                co_await m_world.pause(restart_delay);
                m_world.restart_router(n);
            }
        }
    }

    [[nodiscard]] const std::vector<std::uint64_t>& peaks() const { return m_peaks; }
    [[nodiscard]] const std::vector<int>& ends() const { return m_ends; }

  private:
    deployment& m_world;
    std::vector<std::uint64_t> m_peaks;
    std::vector<int> m_ends;
};

asio::awaitable<verdict> play(deployment& world)
{
    co_await world.start(3, routes());
    start_sound_workers(world);
    router_links links(link_bytes_per_s);
    endless_worker first(world, "i-other-1", has_trouble(), links);
    endless_worker second(world, "i-other-2", has_trouble(), links);
    co_await first.enlist("schedule");
    co_await second.enlist("schedule");
    if (!co_await world.wait_until_ready())
        co_return verdict::not_run;
    memory_watch watch(world);
    asio::co_spawn(world.context(), watch.run(), asio::detached);
    load callers(world.context(), world,
                 [](std::size_t router)
                 {
                     question item;
                     item.router = router;
                     item.target = "/look/x";
                     return item;
                 });
    callers.start(2, millis(100));
    co_await world.pause(millis(30'000));
    co_await callers.stop();
    for (std::size_t n = 0; n < world.routers(); ++n)
        world.events().add("router " + std::to_string(n) + ": peak " +
                           std::to_string(watch.peaks()[n] / mb) + " MB, ended " +
                           std::to_string(watch.ends()[n]) + " times");
    world.events().add("served " + std::to_string(callers.served()) + " of " +
                       std::to_string(world.requests()) + ", answers of the others " +
                       std::to_string(first.answers() + second.answers()));
    if (callers.served() == 0 || first.answers() + second.answers() == 0)
        co_return verdict::not_run;
    // "On a tenth of the machines in use (two at least) processes end by themselves three times."
    constexpr int allowed_ends = 2;
    constexpr std::ptrdiff_t allowed_machines = 1;
    const auto machines =
        std::ranges::count_if(watch.ends(), [](int n) { return n > allowed_ends; });
    co_return machines > allowed_machines ? verdict::broken : verdict::held;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, play);
}
