/// A foreign entry makes the coordinator grant the keys of a live worker to another one.
#include "../../tests/standins/hold_check.hpp"
#include "../kit/load.hpp"
#include "../kit/run_case.hpp"

#include <algorithm>
#include <array>
#include <fstream>
#include <random>

namespace
{

using namespace eelgrassrail;
using namespace review;
namespace asio = boost::asio;

constexpr int all_keys = 65'536;
constexpr std::array workers{"i-a0", "i-b1", "i-c2"};

std::string routes()
{
    return desired_state({{"read", "safe", "keys", "2000ms"}}, {"keys"}, {});
}

void start_workers(deployment& world)
{
    constexpr int run_ms = 120;
    int zone = 0;
    for (const auto* id : workers)
        world.start_worker({id, "keys", "zone-" + std::to_string(++zone), true, run_ms});
}

/// Another writer's entry, of a service that the desired state does not name.
std::string foreign_entry(const deployment& world)
{
    return R"({"service":"archive","address":")" + world.worker_address(workers.front()) +
           R"(","zone":"zone-1","version":"v1","slots":3,"state":"ready",)" +
           R"("cold_remaining":"0ms","seq":1,"born":)" + std::to_string(unix_ms()) + "}";
}

/// Waits until each key has an owner that has accepted its grant.
asio::awaitable<bool> wait_for_owners(deployment& world)
{
    constexpr int max_polls = 100;
    for (int n = 0; n < max_polls; ++n)
    {
        co_await world.pause(millis(200));
        const auto newest = co_await world.ownership();
        const auto keys = std::ranges::find(newest.services, "keys", &service_slices::service);
        if (keys != newest.services.end() &&
            std::ranges::all_of(keys->slices, [](const key_slice& it)
                                { return it.is_ready && !it.owner.id.empty(); }))
            co_return true;
    }
    co_return false;
}

/// @return whether two workers held the same keys for longer than the rule allows
bool have_overlapped(deployment& world)
{
    constexpr std::int64_t allowed_us = 500'000;
    test::hold_journal events;
    for (const auto* id : workers)
    {
        std::ifstream in(world.worker_log(id));
        for (std::string line; std::getline(in, line);)
            if (auto event = test::parse_hold_line(line))
            {
                world.events().add("worker " + line);
                events.push_back(std::move(*event));
            }
            else if (line.starts_with("begin"))
                world.events().add("worker " + std::string(id) + " " + line);
    }
    std::ranges::stable_sort(events, {}, &test::hold_event::at_us);
    test::hold_check check;
    for (const auto& event : events)
        check.add(event);
    bool is_broken = false;
    for (const auto& item : check.cases())
    {
        const bool counts =
            item.excluded.empty() && (!item.is_overlap || item.to_us - item.from_us > allowed_us);
        is_broken = is_broken || counts;
        world.events().add((counts ? "BROKEN " : "not counted ") + test::to_text(item));
    }
    return is_broken;
}

asio::awaitable<verdict> play(deployment& world)
{
    co_await world.start(3, routes());
    start_workers(world);
    if (!co_await world.wait_until_ready() || !co_await wait_for_owners(world))
        co_return verdict::not_run;
    std::mt19937 random(1);
    load callers(world.context(), world,
                 [&](std::size_t router)
                 {
                     question item;
                     item.router = router;
                     item.target = "/read/x";
                     item.key = std::uniform_int_distribution<int>(0, all_keys - 1)(random);
                     return item;
                 });
    callers.start(2, millis(100));
    co_await world.pause(millis(4'000));
    if (has_trouble())
    {
        const auto value = foreign_entry(world);
        world.events().add("entry of another writer: " + value);
        co_await world.put_entry("x-archive", value);
    }
    co_await world.pause(millis(2'000));
    // Planned work: the worker is removed without reporting `draining`, and serves on.
    world.events().add(std::string("entry removed id=") + workers.front());
    co_await world.call_store(std::string("/lapse?ms=60000&key=") + workers.front());
    co_await world.pause(millis(6'000));
    co_await callers.stop();
    world.events().add("served " + std::to_string(callers.served()) + " of " +
                       std::to_string(world.requests()));
    if (callers.served() == 0)
        co_return verdict::not_run;
    co_return have_overlapped(world) ? verdict::broken : verdict::held;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, play);
}
