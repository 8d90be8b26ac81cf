/// After a short cut between the coordinator and the store, removals of workers take effect late
/// on all routers.
#include "../kit/load.hpp"
#include "../kit/run_case.hpp"
#include "../kit/worker_journal.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <stdexcept>
#include <vector>

namespace
{

using namespace eelgrassrail;
using namespace review;
namespace asio = boost::asio;

constexpr std::int64_t drain_us = 2'000'000;
constexpr int rounds = 4;
constexpr int removed_per_round = 3;
constexpr int worker_count = rounds * removed_per_round + 6;

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
        world.start_worker({worker_id(n), "desk", "zone-" + std::to_string(n % 3 + 1), false, 50});
}

/// A cut of one second. It begins with one of the reads that the router sends twice a second.
asio::awaitable<void> cut_store(deployment& world, std::size_t router)
{
    constexpr millis cut_time{1'050};
    constexpr millis after_routes{350};
    constexpr millis poll_interval{2};
    auto& link = world.link(router);
    link.cut_at_read(after_routes);
    for (int n = 0; n < 5'000 && !link.is_cut(); ++n)
        co_await world.pause(poll_interval);
    world.events().add("cut between router " + std::to_string(router) + " and the store begins");
    co_await world.pause(cut_time);
    link.heal();
    world.events().add("cut ends");
}

/// When the store acknowledged the removal of a worker, and the router that was cut before.
struct removal
{
    std::string worker;
    std::int64_t ack_us{};
    std::size_t cut_router{};
};

/// Scale-in: workers are removed one after the other. They do not report `draining`, and serve on.
asio::awaitable<void> remove_workers(deployment& world, int round, std::size_t cut_router,
                                     std::vector<removal>& removals)
{
    constexpr millis interval{100};
    constexpr unsigned status_ok = 200;
    for (int n = 0; n < removed_per_round; ++n)
    {
        removal item;
        item.worker = worker_id(round * removed_per_round + n);
        if (co_await world.call_store("/lapse?ms=120000&key=" + item.worker) != status_ok)
            throw std::runtime_error("the store does not answer");
        item.ack_us = now_us();
        item.cut_router = cut_router;
        removals.push_back(item);
        world.events().add("removal acknowledged id=" + item.worker);
        co_await world.pause(interval);
    }
}

/// @return requests that reached a removed worker too late, by routers that were not cut
int count_late(deployment& world, const std::vector<removal>& removals)
{
    constexpr std::int64_t us_in_ms = 1'000;
    int late = 0;
    for (const auto& item : removals)
    {
        std::streamoff position = 0;
        std::int64_t last_us = item.ack_us;
        for (const auto& line : read_journal(world.worker_log(item.worker), position))
        {
            if (line.kind != "arrival")
                continue;
            last_us = std::max(last_us, line.at_us);
            if (line.at_us <= item.ack_us + drain_us || line.router() == item.cut_router)
                continue;
            ++late;
            world.events().add("BROKEN " + line.attempt + " reached " + item.worker + " " +
                               std::to_string((line.at_us - item.ack_us) / us_in_ms) +
                               " ms after its removal was acknowledged");
        }
        world.events().add("last request at " + item.worker + " " +
                           std::to_string((last_us - item.ack_us) / us_in_ms) +
                           " ms after its removal was acknowledged");
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
    constexpr std::size_t callers_per_router = 8;
    constexpr millis settle_time{4'500};
    constexpr millis after_cut{300};
    co_await world.start(3, routes());
    start_workers(world);
    if (!co_await world.wait_until_ready())
        co_return verdict::not_run;
    load callers(world.context(), world, next_question);
    callers.start(callers_per_router, millis(20));
    std::vector<removal> removals;
    for (int round = 0; round < rounds; ++round)
    {
        co_await world.pause(settle_time);
        const auto coordinator = co_await world.coordinator();
        if (coordinator == world.routers())
            co_return verdict::not_run;
        if (has_trouble())
            co_await cut_store(world, coordinator);
        co_await world.pause(after_cut);
        co_await remove_workers(world, round, coordinator, removals);
    }
    co_await world.pause(settle_time);
    co_await callers.stop();
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
