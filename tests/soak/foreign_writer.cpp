/// Kinds of entries of another writer.
#include "foreign_writer.hpp"

#include "log_record_bytes.hpp"

#include <array>
#include <chrono>

namespace eelgrassrail::soak
{
namespace
{

/// An entry with all fields.
std::string entry_text(const std::string& service, const std::string& address,
                       const std::string& slots, const std::string& cold)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto born = std::chrono::duration_cast<millis>(now).count() + 1'000;
    return R"({"service":")" + service + R"(","address":")" + address +
           R"(","zone":"z1","version":"v1","slots":)" + slots +
           R"(,"state":"ready","cold_remaining":")" + cold + R"(","seq":1,"born":)" +
           std::to_string(born) + "}";
}

} // namespace

foreign_writer::foreign_writer(store_control& store, unsigned seed)
    : m_store(store)
    , m_random(seed)
{
}

std::size_t foreign_writer::below(std::size_t limit)
{
    return std::uniform_int_distribution<std::size_t>(0, limit - 1)(m_random);
}

millis foreign_writer::next_pause()
{
    constexpr std::size_t max_ms = 1'500;
    return millis(100 + below(max_ms));
}

std::string foreign_writer::make_value(std::size_t kind, const named_worker& victim)
{
    constexpr std::size_t deep = 100'000;
    constexpr std::size_t long_name = 60'000;
    const std::array values{
        entry_text("unknown", victim.address, "3", "0ms"),
        std::string(deep, '['),
        entry_text(victim.service, victim.address, "1e300", "0ms"),
        entry_text(victim.service, victim.address, "4000000000", "0ms"),
        entry_text(victim.service, victim.address, "3", "1e300s"),
        entry_text(victim.service, "127.0.0.1:70000", "3", "0ms"),
        entry_text(victim.service, "nowhere", "3", "0ms"),
        entry_text(victim.service, std::string(long_name, '1') + ":80", "3", "0ms"),
        entry_text(std::string(long_name, 's'), victim.address, "3", "0ms"),
        R"({"service":")" + victim.service + R"(","born":-1})",
        std::string("\xff\xfe\0\x01", 4),
    };
    return values.at(kind % values.size());
}

boost::asio::awaitable<std::string> foreign_writer::write(named_worker victim, named_worker other)
{
    constexpr std::size_t kinds = 11;
    const std::string name = "x" + std::to_string(++m_written);
    const std::array keys{name, other.id, victim.id, name + "\r\nX: y", std::string()};
    const auto kind = below(kinds);
    const auto key = below(keys.size());
    const auto bytes = test::log_record_bytes(keys.at(key), make_value(kind, victim));
    co_await m_store.post("/api/log-append?topic=keyed.servers&part=0", bytes);
    const bool deletes_history = below(4) == 0;
    if (deletes_history)
        co_await m_store.post("/compact?topic=keyed.servers");
    co_return "foreign entry kind=" + std::to_string(kind) + " key=" + std::to_string(key) +
        " victim=" + victim.id + " other=" + other.id +
        " deletes_history=" + std::to_string(deletes_history ? 1 : 0);
}

} // namespace eelgrassrail::soak
