/// Interface between the router and the platform's metadata store.
#pragma once

#include <eelgrassrail/core/clock.hpp>
#include <eelgrassrail/registry/worker_change.hpp>
#include <eelgrassrail/registry/zone_evacuation.hpp>
#include <eelgrassrail/routing/route_table.hpp>

#include <boost/asio/awaitable.hpp>

#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassrail
{

/// Streams that the router reads.
enum class platform_stream : std::uint8_t
{
    routes,   ///< desired states and evacuations; written by operators
    workers,  ///< worker entries; written by the workers
    ownership ///< ownership records; written by the router
};

/// One record of a stream.
struct stream_record
{
    std::uint64_t offset{};
    std::string key;
    std::string value; ///< empty if the key was removed
};

/// Result of a read.
struct stream_page
{
    std::vector<stream_record> records;
    std::uint64_t end{}; ///< offset to continue reading from
    bool has_gap{};      ///< records at the offset were already deleted; call `newest` instead
};

/// Outcome of a conditional append.
enum class append_outcome : std::uint8_t
{
    done,
    lost_race, ///< the stream does not end at the expected offset
    unknown    ///< the append may have been executed, or may still be
};

/// @brief A store: reads and appends streams and decodes their records.
template <class T>
concept platform_store = requires(T& store, platform_stream stream, std::uint64_t offset,
                                  millis wait, std::string text, const stream_record& record)
{
    {
        store.read(stream, offset, wait)
        } -> std::same_as<boost::asio::awaitable<std::optional<stream_page>>>;
    {
        store.newest(stream)
        } -> std::same_as<boost::asio::awaitable<std::optional<stream_page>>>;
    {
        store.append_ownership(text, offset)
        } -> std::same_as<boost::asio::awaitable<append_outcome>>;
    {
        store.decode_routes(text)
        } -> std::same_as<route_table>;
    {
        store.decode_evacuation(record)
        } -> std::same_as<std::optional<zone_evacuation>>;
    {
        store.decode_worker(record)
        } -> std::same_as<worker_change>;
};

/// Type-erased calls of one store, so that the tasks that use them are compiled once.
struct platform_calls
{
    /// Reads records from an offset on; waits up to the given time for the first one. Returns
    /// nothing if the store did not answer completely.
    std::function<boost::asio::awaitable<std::optional<stream_page>>(platform_stream, std::uint64_t,
                                                                     millis)>
        read;
    /// Reads the newest record of each key. Returns nothing if the store did not answer completely.
    std::function<boost::asio::awaitable<std::optional<stream_page>>(platform_stream)> newest;
    /// Appends a record to the ownership stream if the stream ends at the given offset.
    std::function<boost::asio::awaitable<append_outcome>(std::string, std::uint64_t)>
        append_ownership;
    /// @throws platform_error if the text is not a valid desired state
    std::function<route_table(const std::string&)> decode_routes;
    /// The evacuation that a record of the routes' stream is about; nothing if it is a desired
    /// state. Empty: all records are desired states.
    std::function<std::optional<zone_evacuation>(const stream_record&)> decode_evacuation;
    /// @throws platform_error if the record is not a valid worker entry
    std::function<worker_change(const stream_record&)> decode_worker;
};

/// @brief Wraps a store, which has to outlive the result.
template <platform_store Store>
[[nodiscard]] platform_calls make_platform_calls(Store& store)
{
    return {
        [&store](platform_stream stream, std::uint64_t from, millis wait)
        { return store.read(stream, from, wait); },
        [&store](platform_stream stream) { return store.newest(stream); },
        [&store](std::string text, std::uint64_t at)
        { return store.append_ownership(std::move(text), at); },
        [&store](const std::string& text) { return store.decode_routes(text); },
        [&store](const stream_record& record) { return store.decode_evacuation(record); },
        [&store](const stream_record& record) { return store.decode_worker(record); },
    };
}

} // namespace eelgrassrail
