/// After the store has forgotten its history, the removal of a worker does not reach the routers
/// that learn of it from the coordinator.
#include "../kit/load.hpp"
#include "../kit/run_case.hpp"
#include "../kit/worker_journal.hpp"

#include <algorithm>
#include <stdexcept>
#include <vector>

namespace
{

using namespace eelgrassrail;
using namespace review;
namespace asio = boost::asio;

constexpr std::int64_t drain_us = 2'000'000;
constexpr int rounds = 3;
constexpr int worker_count = rounds + 3;

std::string routes()
{
    return desired_state({{"book", "unsafe", "desk", "2000ms"}}, {}, {"desk"});
}

std::string worker_id(int n)
{
    return "i-desk-" + std::to_string(n);
}

void start_workers(deployment& world)
{
    for (int n = 0; n < worker_count; ++n)
        world.start_worker({worker_id(n), "desk", "zone-" + std::to_string(n % 3 + 1), false, 300});
}

/// When the store acknowledged the removal of a worker.
struct removal
{
    std::string worker;
    std::int64_t ack_us{};
};

/// Scale-in: the worker does not report `draining`, and serves on. The store then deletes the
/// records of its history, which it may do at any time.
asio::awaitable<removal> remove_worker(deployment& world, int number)
{
    constexpr unsigned status_ok = 200;
    removal item;
    item.worker = worker_id(number);
    if (co_await world.call_store("/lapse?ms=120000&key=" + item.worker) != status_ok)
        throw std::runtime_error("the store does not answer");
    item.ack_us = now_us();
    world.events().add("removal acknowledged id=" + item.worker);
    if (has_trouble())
    {
        constexpr millis deleted_after{50};
        co_await world.pause(deleted_after);
        co_await world.call_store("/compact?topic=keyed.servers");
        world.events().add("history deleted");
    }
    co_return item;
}

/// @return requests that reached a removed worker too late
int count_late(deployment& world, const std::vector<removal>& removals)
{
    constexpr std::int64_t us_in_ms = 1'000;
    // The store is stable again `contact` after the deletion, and the routers are in touch.
    constexpr std::int64_t late_us = drain_us + 3'000'000;
    int late = 0;
    for (const auto& item : removals)
    {
        std::streamoff position = 0;
        std::int64_t last_us = item.ack_us;
        int here = 0;
        for (const auto& line : read_journal(world.worker_log(item.worker), position))
        {
            if (line.kind != "arrival")
                continue;
            last_us = std::max(last_us, line.at_us);
            here += line.at_us > item.ack_us + late_us ? 1 : 0;
        }
        late += here;
        world.events().add(
            (here > 0 ? "BROKEN " : "kept ") + item.worker + " got " + std::to_string(here) +
            " requests later than 5 s after its removal was acknowledged, the last " +
            std::to_string((last_us - item.ack_us) / us_in_ms) + " ms after it");
    }
    return late;
}

question next_question(std::size_t router)
{
    question item;
    item.router = router;
    item.method = "POST";
    item.target = "/book/x";
    item.body = "order";
    return item;
}

asio::awaitable<verdict> play(deployment& world)
{
    constexpr std::size_t callers_per_router = 3;
    constexpr millis settle_time{8'000};
    co_await world.start(3, routes());
    start_workers(world);
    if (!co_await world.wait_until_ready())
        co_return verdict::not_run;
    load callers(world.context(), world, next_question);
    callers.start(callers_per_router, millis(50));
    std::vector<removal> removals;
    for (int round = 0; round < rounds; ++round)
    {
        co_await world.pause(settle_time);
        removals.push_back(co_await remove_worker(world, round));
    }
    co_await world.pause(settle_time);
    // The workers leave; whatever they still run is lost.
    for (const auto& item : removals)
        world.kill_worker(item.worker);
    world.events().add("removed workers have ended");
    co_await world.pause(millis(1'000));
    co_await callers.stop();
    world.events().add("coordinator is router " + std::to_string(co_await world.coordinator()));
    constexpr unsigned server_lost = 502;
    world.events().add("filings whose run was cut off (502): " +
                       std::to_string(world.answers(server_lost)));
    world.events().add("served " + std::to_string(callers.served()) + " of " +
                       std::to_string(world.requests()));
    if (callers.served() == 0)
        co_return verdict::not_run;
    co_return count_late(world, removals) > 0 ? verdict::broken : verdict::held;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, play);
}
